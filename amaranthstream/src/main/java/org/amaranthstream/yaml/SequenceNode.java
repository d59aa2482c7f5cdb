package org.amaranthstream.yaml;

import com.google.common.collect.ImmutableList;

/**
 * A YAML sequence.
 *
 * @param line the line on which the sequence starts, from 1
 * @param items the items in document order
 */
record SequenceNode(int line, ImmutableList<YamlNode> items) implements YamlNode {

  @Override
  public String describe() {
    return "a list of " + items.size();
  }
}
