package org.amaranthstream.standins.trainer;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.amaranthstream.standins.server.BlockingHttpClient;
import org.amaranthstream.standins.server.Json;

/**
 * A trainer: submits steps ahead, pulls each with its delivery token, trains, publishes a version.
 *
 * <pre>{@code
 * TrainerReport report = new TrainerStandin(options).run();
 * System.out.println(report.summaryLine());
 * }</pre>
 */
public final class TrainerStandin {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int PULL_WAIT_MS = 1000;
  private static final Duration STORE_TIMEOUT = Duration.ofSeconds(10);

  private final TrainerOptions options;
  private final BlockingHttpClient http;
  private final DaemonCalls daemons;
  private final SampleCheck check;
  private final Map<Long, String> tokens = new HashMap<>();
  private final Map<Long, Long> submittedNanos = new HashMap<>();
  private final List<Long> waitsMs = new ArrayList<>();
  private final List<Long> stepsMs = new ArrayList<>();
  private long version;
  private long pull;
  private long waitedNanos;
  private long resubmissions;
  private long endNanos;

  /** Creates a trainer. */
  public TrainerStandin(TrainerOptions options) {
    this.options = options;
    this.http = new BlockingHttpClient(options.token());
    this.daemons = new DaemonCalls(options, http);
    this.check = new SampleCheck(options.maxTokens(), options.stalenessBound());
    this.version = options.firstVersion();
  }

  /** Runs all steps, or as many as the time limit allows, and reports. */
  public TrainerReport run() {
    long startNanos = System.nanoTime();
    endNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(options.timeLimitMs());
    try {
      for (long step = 1; step <= options.steps() && !isOver(); step++) {
        runStep(step);
      }
      return report(System.nanoTime() - startNanos);
    } finally {
      http.close();
    }
  }

  private void runStep(long step) {
    long lastAhead = Math.min(options.steps(), step + options.horizon());
    for (long ahead = step; ahead <= lastAhead; ahead++) {
      submit(ahead);
    }
    long startNanos = System.nanoTime();
    boolean whole = collect(step);
    long waited = System.nanoTime() - startNanos;
    waitedNanos += waited;
    if (!whole) {
      return;
    }
    waitsMs.add(TimeUnit.NANOSECONDS.toMillis(waited));
    long sinceSubmission = System.nanoTime() - submittedNanos.get(step);
    stepsMs.add(TimeUnit.NANOSECONDS.toMillis(sinceSubmission));
    http.pause(Duration.ofMillis(options.trainMs()));
    version++;
    publish();
    logger.atInfo().log("event=step_trained step=%d version=%d", step, version);
  }

  private void submit(long step) {
    while (!tokens.containsKey(step) && !isOver()) {
      long now = System.nanoTime();
      daemons
          .submit(step, body(step))
          .ifPresent(
              accepted -> {
                tokens.put(step, accepted.token());
                submittedNanos.put(step, now);
              });
    }
  }

  private boolean collect(long step) {
    check.startStep();
    while (!isOver()) {
      pull++;
      PullBody body = new PullBody(tokens.get(step), pull, version, options.slots(), PULL_WAIT_MS);
      DaemonCalls.PullOutcome outcome = daemons.pull(step, body);
      if (outcome.unknownStep()) {
        resubmissions++;
        daemons.submit(step, body(step));
      }
      Optional<PullPage> page = outcome.page().filter(p -> p.pull() == pull);
      if (page.isPresent() && keep(step, page.get())) {
        check.endStep(options.slots());
        return true;
      }
    }
    return false;
  }

  private boolean keep(long step, PullPage page) {
    tokens.put(step, page.token());
    page.samples().forEach(sample -> check.add(sample, version));
    return page.done();
  }

  private void publish() {
    options.weightStore().ifPresent(this::publishToStore);
    boolean published = daemons.publish(version);
    while (!published && !isOver()) {
      published = daemons.publish(version);
    }
  }

  private void publishToStore(String store) {
    String url = store + "/v1/models/" + options.model() + "/versions/" + version;
    try {
      http.call(HttpMethod.PUT, url, "", STORE_TIMEOUT);
    } catch (IOException e) {
      logger.atWarning().log("event=publish_failed url=%s reason=\"%s\"", url, e.getMessage());
    }
  }

  private boolean isOver() {
    return System.nanoTime() - endNanos > 0;
  }

  private StepBody body(long step) {
    List<StepBody.Group> groups = new ArrayList<>();
    for (int group = 0; group < options.groups(); group++) {
      groups.add(new StepBody.Group(prompt(step, group)));
    }
    return new StepBody(
        options.workClass(), groups, options.samplesPerGroup(), options.maxTokens(), step);
  }

  private String prompt(long step, int group) {
    return "%s step %d group %d: describe the product".formatted(options.trainer(), step, group);
  }

  private TrainerReport report(long elapsedNanos) {
    List<Long> staleness = check.sortedStaleness();
    Collections.sort(waitsMs);
    Collections.sort(stepsMs);
    return new TrainerReport(
        waitsMs.size(),
        check.kept().size(),
        check.doubled(),
        check.lost(),
        check.broken(),
        check.tooOld(),
        check.sameText(),
        mislabelled(),
        check.kept().stream().mapToLong(PullPage.Sample::tokens).sum(),
        (double) waitedNanos / elapsedNanos,
        quantile(staleness, 0.5),
        quantile(staleness, 0.99),
        quantile(staleness, 1),
        quantile(waitsMs, 0.5),
        quantile(waitsMs, 1),
        quantile(stepsMs, 0.5),
        quantile(stepsMs, 1),
        daemons.errors(),
        resubmissions);
  }

  private long mislabelled() {
    if (options.engines().isEmpty()) {
      return -1;
    }
    VersionJudge judge = new VersionJudge();
    for (String engine : options.engines()) {
      judge.add(readLedger(engine));
    }
    return check.kept().stream().filter(sample -> !judge.isLabelledRightly(sample)).count();
  }

  private LedgerPage readLedger(String engine) {
    try {
      String url = engine + "/v1/ledger";
      return Json.read(http.call(HttpMethod.GET, url, "", STORE_TIMEOUT).body(), LedgerPage.class);
    } catch (IOException e) {
      logger.atWarning().log("event=ledger_unread url=%s reason=\"%s\"", engine, e.getMessage());
      return new LedgerPage(List.of());
    }
  }

  private static long quantile(List<Long> sorted, double quantile) {
    if (sorted.isEmpty()) {
      return 0;
    }
    int index = (int) Math.ceil(quantile * sorted.size()) - 1;
    return sorted.get(Math.max(0, index));
  }
}
