package org.amaranthstream.yaml;

/**
 * Context that all nodes of one document share.
 *
 * @param source the name of the document in error messages
 * @param listener receives the path of each key that is read
 */
record DocumentContext(String source, KeyListener listener) {}
