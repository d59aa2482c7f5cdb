package org.amaranthstream.weights;

import java.util.Optional;
import org.amaranthstream.ids.FencingNumber;

/** Tells whether this daemon may act in a duty. */
public interface FencingTokenSource {

  /** Returns the fencing number if this daemon may act now. */
  Optional<FencingNumber> current();

  /** Returns the fencing number if this daemon may act now; the act follows at once. */
  Optional<FencingNumber> issueForAction();
}
