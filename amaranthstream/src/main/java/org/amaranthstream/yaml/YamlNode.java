package org.amaranthstream.yaml;

/** A part of a YAML document that knows its line. */
sealed interface YamlNode permits MappingNode, SequenceNode, ScalarNode {

  /** Returns the line on which the part starts, from 1. */
  int line();

  /** Returns what the part is, for an error message. */
  String describe();
}
