package org.amaranthstream.config;

import java.util.Optional;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.PoolId;

/**
 * A pool of backend servers.
 *
 * <p>Immutable and thread safe.
 *
 * @param id the name
 * @param kind the kind of the servers
 * @param model the model whose weight versions the servers load; empty for plain services
 * @param checksFencing true if the servers reject orders with an outdated fencing token
 */
public record Pool(PoolId id, PoolKind kind, Optional<ModelId> model, boolean checksFencing) {
  /** Returns a pool of model engines that load the weight versions of {@code model}. */
  public static Pool modelEngine(PoolId id, ModelId model, boolean checksFencing) {
    return new Pool(id, PoolKind.MODEL_ENGINE, Optional.of(model), checksFencing);
  }

  /** Returns a pool of plain services. */
  public static Pool plainService(PoolId id) {
    return new Pool(id, PoolKind.PLAIN_SERVICE, Optional.empty(), false);
  }
}
