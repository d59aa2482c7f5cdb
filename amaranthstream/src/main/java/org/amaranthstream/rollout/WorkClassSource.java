package org.amaranthstream.rollout;

import java.util.Optional;
import org.amaranthstream.config.WorkClass;
import org.amaranthstream.ids.WorkClassId;

/** Source of the classes of work in force. */
@FunctionalInterface
public interface WorkClassSource {

  /** Returns the class called {@code id}, empty if operators have not defined it. */
  Optional<WorkClass> find(WorkClassId id);
}
