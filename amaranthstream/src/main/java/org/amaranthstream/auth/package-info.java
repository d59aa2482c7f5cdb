/** Authentication: secrets, credentials, roles and the verification of bearer tokens. */
package org.amaranthstream.auth;
