package org.amaranthstream.yaml;

/** A node of a YAML document, with the line on which it starts. */
sealed interface YamlNode permits MappingNode, SequenceNode, ScalarNode {

  /** Returns the line on which the node starts, from 1. */
  int line();

  /** Returns a description of the node for error messages. */
  String describe();
}
