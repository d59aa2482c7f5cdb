package org.amaranthstream.bench.entrypath;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.amaranthstream.bench.entrypath.ClosedLoop.Sample;
import org.amaranthstream.bench.experiment.SingleDaemon;

/** Measurement of calls to a plain service, alternately directly and through a daemon. */
final class EntryPathMeasurement implements AutoCloseable {
  private static final String BODY = "{\"order\": \"entry-path\"}";
  private static final Duration WARM_UP = Duration.ofSeconds(5);

  private final Vertx vertx = Vertx.vertx();
  private final SingleDaemon daemon;
  private final int callers;
  private final HttpClient client;
  private long calls;

  EntryPathMeasurement(SingleDaemon daemon, int callers) {
    this.daemon = daemon;
    this.callers = callers;
    this.client = vertx.createHttpClient(new PoolOptions().setHttp1MaxSize(callers));
  }

  /**
   * Measures direct calls and then calls through the daemon in each round, and returns the medians
   * over the rounds.
   */
  EntryPathResult measure(int rounds, int seconds) {
    ClosedLoop direct = new ClosedLoop(vertx, callers, this::callService);
    ClosedLoop entry = new ClosedLoop(vertx, callers, this::callDaemon);
    direct.run(WARM_UP);
    entry.run(WARM_UP);
    List<Sample> directSamples = new ArrayList<>();
    List<Sample> entrySamples = new ArrayList<>();
    long processorMs = 0;
    for (int i = 0; i < rounds; i++) {
      directSamples.add(direct.run(Duration.ofSeconds(seconds)));
      long processorMsBefore = daemon.processorMs();
      entrySamples.add(entry.run(Duration.ofSeconds(seconds)));
      processorMs += daemon.processorMs() - processorMsBefore;
    }
    return result(seconds, directSamples, entrySamples, processorMs);
  }

  @Override
  public void close() {
    vertx.close();
  }

  private Future<Boolean> callService() {
    calls++;
    RequestOptions options =
        post(daemon.serviceUrl() + "/v1/call").putHeader("Attempt", "direct-" + calls);
    return send(options);
  }

  private Future<Boolean> callDaemon() {
    RequestOptions options =
        post(daemon.url() + daemon.callPath())
            .putHeader("Authorization", "Bearer " + daemon.callerToken());
    return send(options);
  }

  private static RequestOptions post(String url) {
    return new RequestOptions()
        .setMethod(HttpMethod.POST)
        .setAbsoluteURI(url)
        .putHeader("Content-Type", "application/json");
  }

  private Future<Boolean> send(RequestOptions options) {
    return client
        .request(options)
        .compose(request -> request.send(Buffer.buffer(BODY)))
        .compose(response -> response.body().map(body -> isComplete(response.statusCode(), body)));
  }

  private static boolean isComplete(int status, Buffer body) {
    return status == 200 && body.toString().startsWith("{\"served\":");
  }

  private EntryPathResult result(
      int seconds, List<Sample> direct, List<Sample> entry, long processorMs) {
    long entryCalls = entry.stream().mapToLong(s -> s.latencyMicros().getTotalCount()).sum();
    double processorMsPerCall = (double) processorMs / Math.max(1, entryCalls);
    double directMedian = median(direct.stream().map(s -> s.percentileMillis(50)).toList());
    double entryMedian = median(entry.stream().map(s -> s.percentileMillis(50)).toList());
    double directP99 = median(direct.stream().map(s -> s.percentileMillis(99)).toList());
    double entryP99 = median(entry.stream().map(s -> s.percentileMillis(99)).toList());
    return new EntryPathResult(
        callers,
        seconds,
        direct.size(),
        rounded(median(direct.stream().map(Sample::perSecond).toList())),
        rounded(directMedian),
        rounded(directP99),
        rounded(median(entry.stream().map(Sample::perSecond).toList())),
        rounded(entryMedian),
        rounded(entryP99),
        rounded(entryMedian - directMedian),
        rounded(entryP99 - directP99),
        rounded(entryMedian / directMedian),
        rounded(processorMsPerCall),
        rounded(1000 / processorMsPerCall),
        entry.stream().mapToLong(Sample::failed).sum()
            + direct.stream().mapToLong(Sample::failed).sum());
  }

  private static double median(List<Double> values) {
    List<Double> sorted = values.stream().sorted(Comparator.naturalOrder()).toList();
    return sorted.get((sorted.size() - 1) / 2);
  }

  private static double rounded(double value) {
    return Math.round(value * 1000) / 1000.0;
  }
}
