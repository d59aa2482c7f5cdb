package org.amaranthstream.config;

/** Listener for applied configurations, called on the configuration manager's duty. */
@FunctionalInterface
public interface ConfigListener {

  /** Handles a new active configuration; generations strictly increase from call to call. */
  void configApplied(OperatorConfig config);
}
