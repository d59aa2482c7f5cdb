package org.amaranthstream.platform;

import static com.google.common.base.Preconditions.checkNotNull;

import io.vertx.core.Vertx;
import org.amaranthstream.time.TimerService;

/**
 * The client of the platform's services over HTTP.
 *
 * <p>Thread safe. All calls share one budget of calls a second; a call beyond it is not sent.
 *
 * <pre>{@code
 * PlatformClient platform = PlatformClient.create(vertx, timers, options);
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

  /** Returns a client; connections are made with the first calls. */
  public static PlatformClient create(Vertx vertx, TimerService timers, PlatformOptions options) {
    checkNotNull(vertx, "vertx");
    checkNotNull(timers, "timers");
    return new PlatformClient(new PlatformHttp(vertx, timers, options));
  }

  /** Returns the key-value service. */
  public KeyValueStore store() {
    return store;
  }

  /** Returns the list of VMs. */
  public VmList vmList() {
    return vmList;
  }

  /** Returns the counts of calls, for the metrics. */
  public CallCounts counts() {
    return http.counts();
  }

  /** Closes all connections. */
  @Override
  public void close() {
    http.close();
  }
}
