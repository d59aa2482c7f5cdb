package org.amaranthstream.calls;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;
import org.amaranthstream.prompts.Prompt;
import org.amaranthstream.prompts.PromptRun;
import org.amaranthstream.servers.TrackedServer;

/** Backend server to which an attempt is sent. Must be used on one thread. */
final class ServerTarget implements AttemptTarget {
  private final CallService service;
  private final TrackedServer server;
  private final Optional<Prompt> prompt;
  private final BeginReport begin;
  private PromptRun promptRun = PromptRun.UNTRACKED;
  private long sentNanos;
  private boolean hasResponded;

  ServerTarget(
      CallService service, TrackedServer server, Optional<Prompt> prompt, BeginReport begin) {
    this.service = service;
    this.server = server;
    this.prompt = prompt;
    this.begin = begin;
  }

  @Override
  public Optional<TrackedServer> server() {
    return Optional.of(server);
  }

  @Override
  public ImmutableList<TrackedServer> reachableServers() {
    return ImmutableList.of(server);
  }

  @Override
  public CallTransport.Attempt send(
      OutboundCall call, Duration timeLeft, AttemptListener listener) {
    server.onRequestSent();
    sentNanos = service.timers().nowNanos();
    prompt.ifPresent(read -> promptRun = service.promptCosts().begin(server, read));
    return service.transport().send(server, call, timeLeft, listener);
  }

  @Override
  public void onSent() {
    begin.onSent();
  }

  @Override
  public void onCancelled() {
    begin.onUnanswered();
  }

  @Override
  public void onProgress() {
    begin.onResponse();
    if (hasResponded) {
      server.onProgress();
      return;
    }
    hasResponded = true;
    promptRun.onEvent();
    server.onResponse();
    service.crashes().onResponse(server, sentNanos);
  }

  @Override
  public void onFailed(AttemptFailure failure) {
    long now = service.timers().nowNanos();
    if (failure.mayHaveRun()) {
      begin.onUnanswered();
    }
    if (failure instanceof AttemptFailure.NotRun) {
      server.onFull(now);
      service.crashes().onResponse(server, sentNanos);
    } else if (failure instanceof AttemptFailure.ServerReplaced) {
      service.directory().onIncarnationReplaced(server);
    } else {
      server.onFailed(now, failure.toString());
    }
  }

  @Override
  public void onEnded() {
    server.onRequestEnded();
    promptRun.onEnded(hasResponded);
  }

  @Override
  public String toString() {
    return server.id().toString();
  }
}
