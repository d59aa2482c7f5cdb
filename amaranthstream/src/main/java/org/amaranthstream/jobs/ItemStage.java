package org.amaranthstream.jobs;

import java.util.Arrays;

/**
 * Stage of an item on its way from acceptance to its listed result.
 *
 * <p>Stages follow one another in the order of their declaration. A stage that an item does not
 * need is skipped.
 */
enum ItemStage {
  /** An engine generates the text. */
  GENERATE {
    @Override
    boolean isNeeded(ItemSpec item) {
      return true;
    }
  },
  /** A reward call scores the complete text. */
  SCORE {
    @Override
    boolean isNeeded(ItemSpec item) {
      return item.rewardCall().isPresent();
    }
  },
  /** The result is appended to the listed results. */
  APPEND {
    @Override
    boolean isNeeded(ItemSpec item) {
      return true;
    }
  };

  /** Returns true if {@code item} goes through this stage. */
  abstract boolean isNeeded(ItemSpec item);

  /**
   * Returns the next stage that {@code item} needs.
   *
   * @throws IllegalStateException if this is the last stage
   */
  ItemStage next(ItemSpec item) {
    return Arrays.stream(values())
        .filter(stage -> stage.compareTo(this) > 0 && stage.isNeeded(item))
        .findFirst()
        .orElseThrow(() -> new IllegalStateException("no stage follows " + this));
  }
}
