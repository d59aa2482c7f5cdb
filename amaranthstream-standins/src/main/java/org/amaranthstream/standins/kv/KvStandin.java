package org.amaranthstream.standins.kv;

import java.util.List;
import org.amaranthstream.standins.server.Json;
import org.amaranthstream.standins.server.Standin;
import org.amaranthstream.standins.server.StandinBuilder;
import org.amaranthstream.standins.server.StandinServer;

/**
 * Stand-in for the platform's key-value service and its list of VMs.
 *
 * <pre>{@code
 * try (KvStandin kv = KvStandin.builder().start()) {
 *   kv.setVms(List.of(new Vm("e1", "BACKEND", "r", "z", "127.0.0.1", 9000, "coding", false)));
 *   kv.control("{\"outage\": true}");
 * }
 * }</pre>
 */
public final class KvStandin extends Standin {
  private KvStandin(StandinServer server) {
    super(server);
  }

  /** Returns a new builder. */
  public static Builder builder() {
    return new Builder();
  }

  /** Sets the list of VMs. */
  public void setVms(List<Vm> vms) {
    control(Json.text(new VmListing(vms)));
  }

  /** Builder of key-value services. Not thread safe. */
  public static final class Builder extends StandinBuilder<Builder> {
    private Builder() {}

    @Override
    protected Builder self() {
      return this;
    }

    /** Starts the service. */
    public KvStandin start() {
      return new KvStandin(start(new KvRole()));
    }
  }
}
