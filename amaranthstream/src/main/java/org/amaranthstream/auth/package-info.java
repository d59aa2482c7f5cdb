/** Who calls: secrets, roles and the check of bearer tokens. */
package org.amaranthstream.auth;
