package org.amaranthstream.rollout;

import java.util.Optional;
import org.amaranthstream.config.WorkClass;
import org.amaranthstream.ids.WorkClassId;

/** A lookup of the classes of work in the current configuration. */
@FunctionalInterface
public interface WorkClassSource {

  /** Returns the class named {@code id}, or empty if it is not configured. */
  Optional<WorkClass> find(WorkClassId id);
}
