/** Strict reading of YAML documents, with errors that name file, line, key, found and expected. */
package org.amaranthstream.yaml;
