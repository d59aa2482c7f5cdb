package org.amaranthstream.rollout;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.BitSet;

/** An immutable set of slots of one step. Thread safe. */
public final class SlotSet {
  private final int slots;
  private final BitSet bits;

  private SlotSet(int slots, BitSet bits) {
    this.slots = slots;
    this.bits = bits;
  }

  /** Returns the empty set of a step with {@code slots} slots. */
  public static SlotSet empty(int slots) {
    checkArgument(
        slots > 0 && slots <= StepSpec.MAX_SLOTS, "number of slots is out of range: %s", slots);
    return new SlotSet(slots, new BitSet());
  }

  /**
   * Returns the set whose slot i is bit {@code i % 8} of byte {@code i / 8}.
   *
   * @throws IllegalArgumentException if {@code slots} is out of range, or if a bit at or beyond
   *     {@code slots} is set
   */
  static SlotSet ofBytes(int slots, byte[] bytes) {
    checkArgument(
        slots > 0 && slots <= StepSpec.MAX_SLOTS, "number of slots is out of range: %s", slots);
    BitSet bits = BitSet.valueOf(bytes);
    checkArgument(
        bits.length() <= slots,
        "slot %s is out of range, the step has %s slots",
        bits.length() - 1,
        slots);
    return new SlotSet(slots, bits);
  }

  /** Returns the union of this set and {@code added}. */
  public SlotSet with(Iterable<Integer> added) {
    BitSet union = (BitSet) bits.clone();
    for (int slot : added) {
      checkArgument(
          slot >= 0 && slot < slots, "slot %s is out of range, the step has %s slots", slot, slots);
      union.set(slot);
    }
    return new SlotSet(slots, union);
  }

  /** Returns true if {@code slot} is in the set. */
  public boolean contains(int slot) {
    return bits.get(slot);
  }

  /** Returns the number of slots of the step. */
  public int slots() {
    return slots;
  }

  /** Returns the number of slots in the set. */
  public int size() {
    return bits.cardinality();
  }

  byte[] toBytes() {
    return bits.toByteArray();
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof SlotSet set && slots == set.slots && bits.equals(set.bits);
  }

  @Override
  public int hashCode() {
    return bits.hashCode() + slots;
  }

  @Override
  public String toString() {
    return size() + "/" + slots;
  }
}
