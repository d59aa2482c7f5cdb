package org.amaranthstream.weights;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.function.BooleanSupplier;
import org.amaranthstream.ids.FencingNumber;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.membership.BackendServer;

/**
 * Order to a model engine to load a version, whichever version it has now.
 *
 * @param server the model engine
 * @param model the model
 * @param version the version to load
 * @param fencing fencing token of the controller
 * @param mayWrite checked right before the order is written; if false, the order is withheld
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
