package org.amaranthstream.bench.experiment;

import java.io.IOException;
import java.nio.file.Path;

/**
 * One daemon in front of one plain service, each in a process of its own. {@link #close} kills
 * both.
 */
public final class SingleDaemon implements AutoCloseable {
  private final Cluster cluster;

  private SingleDaemon(Cluster cluster) {
    this.cluster = cluster;
  }

  /** Starts the processes. They write their files to {@code folder}. */
  public static SingleDaemon start(Path folder) throws IOException {
    Cluster cluster = Cluster.startBackends(User.SINGLE, folder);
    cluster.startDaemons(Policy.AMARANTHSTREAM);
    return new SingleDaemon(cluster);
  }

  /** Returns the base URL of the daemon. */
  public String url() {
    return cluster.daemonUrls().get(0);
  }

  /** Returns the base URL of the service. */
  public String serviceUrl() {
    return cluster.services().get(0).url();
  }

  /** Returns the path for calls to an idempotent class of the service. */
  public String callPath() {
    return "/v1/classes/" + Workload.QUERY_CLASS + "/calls";
  }

  /** Returns the bearer token of callers. */
  public String callerToken() {
    return ClusterFiles.CALLER_TOKEN;
  }

  /** Returns the processor time that the daemon has used, in ms. */
  public long processorMs() {
    return cluster.daemonProcessorMs();
  }

  @Override
  public void close() {
    cluster.close();
  }
}
