/** Workspaces of the operators' configuration, their keys, and the access of requests by key. */
package org.amaranthstream.workspaces;
