package org.amaranthstream.http;

import com.google.common.collect.MapMaker;
import io.vertx.core.http.HttpConnection;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Counter of the requests that each connection of an HTTP client has carried. Thread safe. */
public final class ConnectionUses {
  private final AtomicLong connectionCount = new AtomicLong();
  private final ConcurrentMap<HttpConnection, Counter> counters =
      new MapMaker().weakKeys().makeMap();

  private record Counter(long connection, AtomicInteger requests) {}

  /** Returns counters of which each starts with the first use of its connection. */
  public static ConnectionUses create() {
    return new ConnectionUses();
  }

  private ConnectionUses() {}

  /** Counts a request that is about to be written to {@code connection}. */
  public ConnectionUse add(HttpConnection connection) {
    Counter counter =
        counters.computeIfAbsent(
            connection,
            unused -> new Counter(connectionCount.incrementAndGet(), new AtomicInteger()));
    return new ConnectionUse(counter.connection(), counter.requests().getAndIncrement());
  }
}
