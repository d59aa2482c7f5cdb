package org.amaranthstream.rollout;

/** The state of a slot at the owner of its step. */
enum SlotState {
  /** The slot waits for its generation. */
  WAITING,
  /** An attempt to generate the slot is running. */
  RUNNING,
  /** The sample is complete and not acknowledged. */
  READY,
  /** The trainer's token contains the slot. */
  DELIVERED
}
