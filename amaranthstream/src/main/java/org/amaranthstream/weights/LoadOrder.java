package org.amaranthstream.weights;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.function.BooleanSupplier;
import org.amaranthstream.ids.FencingNumber;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.membership.BackendServer;

/**
 * An order to be at a version, whatever the server has now.
 *
 * @param server the model engine
 * @param model the model
 * @param version the version to be at
 * @param fencing fencing number of the controller
 * @param mayWrite asked right before the order is written; false withholds it
 */
public record LoadOrder(
    BackendServer server,
    ModelId model,
    WeightVersion version,
    FencingNumber fencing,
    BooleanSupplier mayWrite) {

  /** Creates an order. */
  public LoadOrder {
    checkNotNull(server, "server");
    checkNotNull(model, "model");
    checkNotNull(version, "version");
    checkNotNull(fencing, "fencing");
    checkNotNull(mayWrite, "mayWrite");
  }
}
