/** The administration API for operators: configuration, explanations, state dump and status. */
package org.amaranthstream.admin;
