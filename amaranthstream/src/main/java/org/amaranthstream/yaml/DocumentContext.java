package org.amaranthstream.yaml;

/**
 * What all parts of one document share.
 *
 * @param source the name of the document in error messages
 * @param listener is told of the keys asked for
 */
record DocumentContext(String source, KeyListener listener) {}
