package org.amaranthstream.rollout;

/** State of a slot at the owner of its step. */
enum SlotState {
  /** To be generated. */
  WAITING,
  /** An attempt runs. */
  RUNNING,
  /** Its sample is whole and not known to be kept by the trainer. */
  READY,
  /** The trainer's token has it. */
  DELIVERED
}
