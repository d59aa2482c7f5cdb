package org.amaranthstream.config;

/** Is told of each configuration that comes into force, on the keeper's duty. */
@FunctionalInterface
public interface ConfigListener {

  /** Takes a configuration of a higher generation than all before. */
  void configApplied(OperatorConfig config);
}
