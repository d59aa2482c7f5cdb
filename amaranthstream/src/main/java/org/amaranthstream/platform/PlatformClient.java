package org.amaranthstream.platform;

import static com.google.common.base.Preconditions.checkNotNull;

import org.amaranthstream.http.FramedHttpClients;
import org.amaranthstream.time.TimerService;

/**
 * A client of the platform's services over HTTP.
 *
 * <p>Thread safe. All calls share one rate limit; calls that exceed it fail without being sent.
 *
 * <pre>{@code
 * PlatformClient platform = PlatformClient.create(clients, timers, options);
 * KeyValueStore store = platform.store();
 * }</pre>
 */
public final class PlatformClient implements AutoCloseable {
  private final PlatformHttp http;
  private final KeyValueStore store;
  private final VmList vmList;

  private PlatformClient(PlatformHttp http) {
    this.http = http;
    this.store = new HttpKeyValueStore(http);
    this.vmList = new HttpVmList(http);
  }

  /** Returns a client that opens connections on demand. */
  public static PlatformClient create(
      FramedHttpClients clients, TimerService timers, PlatformOptions options) {
    checkNotNull(clients, "clients");
    checkNotNull(timers, "timers");
    return new PlatformClient(new PlatformHttp(clients, timers, options));
  }

  /** Returns the client of the key-value service. */
  public KeyValueStore store() {
    return store;
  }

  /** Returns the client of the VM list. */
  public VmList vmList() {
    return vmList;
  }

  /** Returns the call counters for the metrics. */
  public CallCounts counts() {
    return http.counts();
  }

  /** Closes all connections. */
  @Override
  public void close() {
    http.close();
  }
}
