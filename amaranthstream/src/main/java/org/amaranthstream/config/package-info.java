/** The operators' configuration: its form, and the keeper that puts only newer ones in force. */
package org.amaranthstream.config;
