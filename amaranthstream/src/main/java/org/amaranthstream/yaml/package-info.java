/** Strict YAML reader, whose errors give file, line, key, value found and value expected. */
package org.amaranthstream.yaml;
