/** The administration API: configuration, explanations of requests, state dump and status. */
package org.amaranthstream.admin;
