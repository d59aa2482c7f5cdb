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
 * Stand-in for a trainer. It submits steps ahead, pulls the samples of each with its delivery
 * token, verifies them, simulates the training by a pause, and publishes the next weight version.
 *
 * <p>Not thread safe.
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
  private final DaemonClient daemons;
  private final SampleVerifier verifier;
  private final Map<Long, String> deliveryTokens = new HashMap<>();
  private final Map<Long, Long> submissionNanos = new HashMap<>();
  private final List<Long> stepWaitsMs = new ArrayList<>();
  private final List<Long> stepDurationsMs = new ArrayList<>();
  private long version;
  private long pull;
  private long totalWaitNanos;
  private long resubmissions;
  private long deadlineNanos;

  /** Creates a trainer. It can run once. */
  public TrainerStandin(TrainerOptions options) {
    this.options = options;
    this.http = new BlockingHttpClient(options.token());
    this.daemons = new DaemonClient(options, http);
    this.verifier = new SampleVerifier(options.maxTokens(), options.stalenessBound());
    this.version = options.firstVersion();
  }

  /** Runs all steps, or as many as the time limit allows, and returns the report. */
  public TrainerReport run() {
    long startNanos = System.nanoTime();
    deadlineNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(options.timeLimitMs());
    try {
      for (long step = 1; step <= options.steps() && !isTimeLimitReached(); step++) {
        runStep(step);
      }
      return report(System.nanoTime() - startNanos);
    } finally {
      http.close();
    }
  }

  private void runStep(long step) {
    long lastSubmitted = Math.min(options.steps(), step + options.horizon());
    for (long ahead = step; ahead <= lastSubmitted; ahead++) {
      submit(ahead);
    }
    long startNanos = System.nanoTime();
    boolean completed = pullStep(step);
    long waitNanos = System.nanoTime() - startNanos;
    totalWaitNanos += waitNanos;
    if (!completed) {
      return;
    }
    stepWaitsMs.add(TimeUnit.NANOSECONDS.toMillis(waitNanos));
    long sinceSubmission = System.nanoTime() - submissionNanos.get(step);
    stepDurationsMs.add(TimeUnit.NANOSECONDS.toMillis(sinceSubmission));
    http.pause(Duration.ofMillis(options.trainMs()));
    version++;
    publish();
    logger.atInfo().log("event=step_trained step=%d version=%d", step, version);
  }

  private void submit(long step) {
    while (!deliveryTokens.containsKey(step) && !isTimeLimitReached()) {
      long now = System.nanoTime();
      daemons
          .submit(step, stepBody(step))
          .ifPresent(
              accepted -> {
                deliveryTokens.put(step, accepted.token());
                submissionNanos.put(step, now);
              });
    }
  }

  /** Pulls and verifies the samples of a step. Returns false if the time limit is reached first. */
  private boolean pullStep(long step) {
    verifier.startStep();
    while (!isTimeLimitReached()) {
      pull++;
      PullBody pullBody =
          new PullBody(deliveryTokens.get(step), pull, version, options.slots(), PULL_WAIT_MS);
      DaemonClient.PullOutcome outcome = daemons.pull(step, pullBody);
      if (outcome.unknownStep()) {
        resubmissions++;
        daemons.submit(step, stepBody(step));
      }
      Optional<PullPage> page = outcome.page().filter(p -> p.pull() == pull);
      if (page.isPresent() && accept(step, page.get())) {
        verifier.endStep(options.slots());
        return true;
      }
    }
    return false;
  }

  /** Verifies the samples of a page. Returns true if the step is complete. */
  private boolean accept(long step, PullPage page) {
    deliveryTokens.put(step, page.token());
    page.samples().forEach(sample -> verifier.add(sample, version));
    return page.done();
  }

  private void publish() {
    options.weightStore().ifPresent(this::publishToStore);
    boolean published = daemons.publish(version);
    while (!published && !isTimeLimitReached()) {
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

  private boolean isTimeLimitReached() {
    return System.nanoTime() - deadlineNanos > 0;
  }

  private StepBody stepBody(long step) {
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
    List<Long> staleness = verifier.sortedStaleness();
    Collections.sort(stepWaitsMs);
    Collections.sort(stepDurationsMs);
    return new TrainerReport(
        stepWaitsMs.size(),
        verifier.kept().size(),
        verifier.duplicates(),
        verifier.missing(),
        verifier.corrupt(),
        verifier.tooOld(),
        verifier.sameText(),
        mislabelled(),
        verifier.kept().stream().mapToLong(PullPage.Sample::tokens).sum(),
        (double) totalWaitNanos / elapsedNanos,
        quantile(staleness, 0.5),
        quantile(staleness, 0.99),
        quantile(staleness, 1),
        quantile(stepWaitsMs, 0.5),
        quantile(stepWaitsMs, 1),
        quantile(stepDurationsMs, 0.5),
        quantile(stepDurationsMs, 1),
        daemons.errors(),
        resubmissions);
  }

  private long mislabelled() {
    if (options.engines().isEmpty()) {
      return -1;
    }
    VersionVerifier versions = new VersionVerifier();
    for (String engine : options.engines()) {
      versions.add(readLedger(engine));
    }
    return verifier.kept().stream().filter(sample -> !versions.hasCorrectVersions(sample)).count();
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
