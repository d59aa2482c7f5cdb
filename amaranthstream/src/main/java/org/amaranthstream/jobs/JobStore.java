package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.amaranthstream.fleet.AbsenceCondition;
import org.amaranthstream.fleet.FleetKeys;
import org.amaranthstream.ids.JobId;
import org.amaranthstream.jobs.wire.JobRecord;
import org.amaranthstream.platform.KvEntry;
import org.amaranthstream.platform.KvPage;
import org.amaranthstream.platform.Transaction;
import org.amaranthstream.platform.TransactionReply;
import org.amaranthstream.platform.TransactionRunner;
import org.amaranthstream.platform.TransactionalStore;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;

/**
 * Store client for batch jobs in the platform's key-value store.
 *
 * <p>The ownership record of a job guards all its other entries. The record is created together
 * with the job and changed by each takeover and by the end of the job, and every page of results is
 * written on the condition that it is unchanged. Two owners can therefore never both append, and no
 * result is appended after an end that the owner has not read yet. Used on one thread.
 */
final class JobStore {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Pages that are removed in one transaction, which also expects the ownership record. */
  private static final int MAX_REMOVED_PAGES = Transaction.MAX_ENTRIES - 1;

  /** Long enough that an append is retried for as long as the job may exist. */
  private static final Duration APPEND_TIMEOUT = Duration.ofMinutes(10);

  private final TransactionalStore store;
  private final TransactionRunner runner;

  JobStore(TransactionalStore store, TransactionRunner runner) {
    this.store = store;
    this.runner = runner;
  }

  /** Encodes a job; empty if its record is too large for the store. */
  static Optional<RecordParts> encodeRecord(JobSpec spec) {
    return RecordParts.of(Compression.compress(JobCodec.encodeJob(spec)));
  }

  /** Creates a job and its ownership record unless the job exists. */
  CompletableFuture<TransactionReply> create(
      JobId job, RecordParts record, JobOwner owner, Duration timeout) {
    Transaction.Builder builder =
        Transaction.builder()
            .expectAbsent(JobKeys.owner(job))
            .put(JobKeys.owner(job), JobCodec.encodeOwner(owner));
    for (int part = 0; part < record.count(); part++) {
      builder.put(JobKeys.part(job, part), record.get(part));
    }
    return runner.run(builder.build(), timeout);
  }

  /** Replaces the ownership record if its revision is still that of {@code before}. */
  CompletableFuture<TransactionReply> replaceOwner(
      StoredOwner before, JobOwner after, Duration timeout) {
    String key = JobKeys.owner(before.job());
    return runner.run(
        Transaction.builder()
            .expect(key, before.revision())
            .put(key, JobCodec.encodeOwner(after))
            .build(),
        timeout);
  }

  /**
   * Replaces the ownership record if its revision is still that of {@code before} and the condition
   * on the former owner holds.
   */
  CompletableFuture<TransactionReply> takeOver(
      StoredOwner before, JobOwner after, Optional<AbsenceCondition> absence, Duration timeout) {
    String key = JobKeys.owner(before.job());
    Transaction.Builder transaction =
        Transaction.builder().expect(key, before.revision()).put(key, JobCodec.encodeOwner(after));
    absence.ifPresent(condition -> condition.addTo(transaction));
    return runner.run(transaction.build(), timeout);
  }

  /**
   * Returns the ownership records that a conflict shows, at most one for a transaction of a job.
   */
  static ImmutableList<StoredOwner> storedOwners(TransactionReply.Conflict conflict) {
    return conflict.current().stream()
        .filter(entry -> entry.key().startsWith(JobKeys.OWNERS))
        .flatMap(entry -> storedOwner(entry).stream())
        .collect(ImmutableList.toImmutableList());
  }

  /** Ends a job whose owner cannot be reached, and stores a notice for the owner. */
  CompletableFuture<TransactionReply> endWithNotice(
      StoredOwner before, JobOwner after, Duration timeout) {
    String key = JobKeys.owner(before.job());
    return runner.run(
        Transaction.builder()
            .expect(key, before.revision())
            .put(key, JobCodec.encodeOwner(after))
            .put(FleetKeys.endedJob(before.job()), JobCodec.encodeOwner(after))
            .build(),
        timeout);
  }

  /** Appends results from {@code position} on if the ownership record is unchanged. */
  CompletableFuture<TransactionReply> append(
      StoredOwner owner, int position, List<ItemResult> results, long nonce) {
    byte[] page = JobCodec.encodePage(results, nonce);
    return addPage(owner, JobKeys.page(owner.job(), position), page, APPEND_TIMEOUT);
  }

  /** Saves a checkpoint of open items if the ownership record is unchanged. */
  CompletableFuture<TransactionReply> saveProgress(
      StoredOwner owner, int page, List<CheckpointPart> parts, long nonce, Duration timeout) {
    byte[] texts = JobCodec.encodeProgress(parts, nonce);
    return addPage(owner, JobKeys.progressPage(owner.job(), page), texts, timeout);
  }

  private CompletableFuture<TransactionReply> addPage(
      StoredOwner owner, String key, byte[] page, Duration timeout) {
    return runner.run(
        Transaction.builder()
            .expect(JobKeys.owner(owner.job()), owner.revision())
            .expectAbsent(key)
            .put(key, Compression.compress(page))
            .build(),
        timeout);
  }

  /** Reads the owner of a job; empty if the job does not exist. */
  CompletableFuture<Result<Optional<StoredOwner>>> owner(JobId job) {
    return store.get(JobKeys.owner(job)).thenApply(result -> result.map(JobStore::storedOwner));
  }

  private static Optional<StoredOwner> storedOwner(Optional<KvEntry> entry) {
    return entry.flatMap(JobStore::storedOwner);
  }

  static Optional<StoredOwner> storedOwner(KvEntry entry) {
    return JobCodec.decodeOwner(entry.value())
        .map(owner -> new StoredOwner(JobKeys.jobOfOwner(entry.key()), owner, entry.revision()));
  }

  /** Reads the owners of all jobs. */
  CompletableFuture<Result<ImmutableList<StoredOwner>>> owners() {
    return entries(JobKeys.OWNERS)
        .thenApply(
            result ->
                result.map(
                    entries ->
                        entries.stream()
                            .flatMap(entry -> storedOwner(entry).stream())
                            .collect(ImmutableList.toImmutableList())));
  }

  /** Reads a job. */
  CompletableFuture<Result<JobSpec>> job(StoredOwner owner) {
    return parts(owner, 0, new ByteArrayOutputStream()).thenApply(r -> r.flatMap(JobStore::spec));
  }

  private CompletableFuture<Result<byte[]>> parts(
      StoredOwner owner, int part, ByteArrayOutputStream read) {
    if (part == owner.owner().parts()) {
      return CompletableFuture.completedFuture(Result.success(read.toByteArray()));
    }
    return store
        .get(JobKeys.part(owner.job(), part))
        .thenCompose(
            result -> {
              if (result instanceof Result.Failure<Optional<KvEntry>> failure) {
                return CompletableFuture.completedFuture(Result.failure(failure.error()));
              }
              Optional<KvEntry> entry = ((Result.Success<Optional<KvEntry>>) result).value();
              if (entry.isEmpty()) {
                return CompletableFuture.completedFuture(
                    Result.failure(
                        ResultCode.INTERNAL,
                        "part " + part + " of " + owner.job() + " is missing in the store"));
              }
              read.writeBytes(entry.get().value());
              return parts(owner, part + 1, read);
            });
  }

  private static Result<JobSpec> spec(byte[] record) {
    try {
      return Result.success(JobCodec.decodeJob(JobRecord.parseFrom(Compression.open(record))));
    } catch (IOException | IllegalArgumentException e) {
      return Result.failure(ResultCode.INTERNAL, "a job record cannot be decoded: " + e);
    }
  }

  /** Visitor of the stored pages of results, in the order of their positions. */
  @FunctionalInterface
  interface PageVisitor {
    /** Visits a page; returns false if no further page is needed. */
    boolean visit(ImmutableList<ItemResult> page);
  }

  /** Reads the listed results of a job, one page after the other. */
  CompletableFuture<Result<JobId>> visitResults(JobId job, PageVisitor visitor) {
    return visitEntries(JobKeys.results(job), entry -> decodePage(entry).map(visitor::visit))
        .thenApply(result -> result.map(unused -> job));
  }

  /** Reads the page of results whose first result has {@code position}. */
  CompletableFuture<Result<ImmutableList<ItemResult>>> page(JobId job, int position) {
    return store
        .get(JobKeys.page(job, position))
        .thenApply(
            result ->
                result.flatMap(
                    entry ->
                        entry.isPresent()
                            ? decodePage(entry.get())
                            : Result.failure(
                                ResultCode.PLATFORM_UNAVAILABLE,
                                "a page of results of " + job + " is missing in the store")));
  }

  private static Result<ImmutableList<ItemResult>> decodePage(KvEntry entry) {
    return decodeAll(ImmutableList.of(entry), JobCodec::decodePage);
  }

  /** Reads the checkpoints of open items. */
  CompletableFuture<Result<JobCheckpoint>> progress(JobId job) {
    return entries(JobKeys.progress(job)).thenApply(r -> r.flatMap(JobStore::decodeProgress));
  }

  private static Result<JobCheckpoint> decodeProgress(ImmutableList<KvEntry> pages) {
    return decodeAll(pages, JobCodec::decodeProgress).map(parts -> JobCheckpoint.of(pages, parts));
  }

  /** Decoder of the records of a page. */
  private interface PageDecoder<T> {
    ImmutableList<T> decode(byte[] page) throws InvalidProtocolBufferException;
  }

  private static <T> Result<ImmutableList<T>> decodeAll(
      ImmutableList<KvEntry> pages, PageDecoder<T> decoder) {
    ImmutableList.Builder<T> records = ImmutableList.builder();
    try {
      for (KvEntry page : pages) {
        records.addAll(decoder.decode(Compression.decompress(page.value())));
      }
    } catch (InvalidProtocolBufferException e) {
      return Result.failure(ResultCode.INTERNAL, "a page of a job cannot be decoded: " + e);
    } catch (IOException e) {
      return Result.failure(ResultCode.INTERNAL, "a page of a job cannot be decompressed: " + e);
    }
    return Result.success(records.build());
  }

  private CompletableFuture<Result<ImmutableList<KvEntry>>> entries(String prefix) {
    ImmutableList.Builder<KvEntry> read = ImmutableList.builder();
    return visitEntries(
            prefix,
            entry -> {
              read.add(entry);
              return Result.success(true);
            })
        .thenApply(result -> result.map(unused -> read.build()));
  }

  private CompletableFuture<Result<ImmutableList<String>>> keys(String prefix) {
    ImmutableList.Builder<String> keys = ImmutableList.builder();
    return visitEntries(
            prefix,
            entry -> {
              keys.add(entry.key());
              return Result.success(true);
            })
        .thenApply(result -> result.map(unused -> keys.build()));
  }

  /** Visitor of entries; returns false, or a failure, if no further entry is needed. */
  private interface EntryVisitor {
    Result<Boolean> visit(KvEntry entry);
  }

  private CompletableFuture<Result<Boolean>> visitEntries(String prefix, EntryVisitor visitor) {
    return visitEntries(prefix, "", visitor);
  }

  private CompletableFuture<Result<Boolean>> visitEntries(
      String prefix, String after, EntryVisitor visitor) {
    return store
        .range(prefix, after)
        .thenCompose(
            result -> {
              if (result instanceof Result.Failure<KvPage> failure) {
                return CompletableFuture.completedFuture(Result.failure(failure.error()));
              }
              KvPage page = ((Result.Success<KvPage>) result).value();
              Result<Boolean> visited = visitAll(page, visitor);
              boolean goesOn = visited.equals(Result.success(true));
              if (!goesOn || !page.hasMore()) {
                return CompletableFuture.completedFuture(visited);
              }
              if (page.entries().isEmpty()) {
                return CompletableFuture.completedFuture(
                    Result.failure(
                        ResultCode.PLATFORM_UNAVAILABLE,
                        "the store announced more entries of " + prefix + " and sent none"));
              }
              String last = page.entries().get(page.entries().size() - 1).key();
              return visitEntries(prefix, last, visitor);
            });
  }

  private static Result<Boolean> visitAll(KvPage page, EntryVisitor visitor) {
    for (KvEntry entry : page.entries()) {
      Result<Boolean> visited = visitor.visit(entry);
      if (!visited.equals(Result.success(true))) {
        return visited;
      }
    }
    return Result.success(true);
  }

  /** Removes all entries of a job whose retention has expired. */
  void remove(StoredOwner owner) {
    keys(JobKeys.results(owner.job()))
        .thenCombine(keys(JobKeys.progress(owner.job())), JobStore::both)
        .thenAccept(
            result -> {
              if (result instanceof Result.Success<ImmutableList<String>> success) {
                removeAll(owner, success.value());
              }
            });
  }

  private static Result<ImmutableList<String>> both(
      Result<ImmutableList<String>> first, Result<ImmutableList<String>> second) {
    return first.flatMap(
        a -> second.map(b -> ImmutableList.<String>builder().addAll(a).addAll(b).build()));
  }

  /** Removes the pages first; the last transaction removes the record, which guards them. */
  private void removeAll(StoredOwner owner, ImmutableList<String> pages) {
    Transaction.Builder builder =
        Transaction.builder().expect(JobKeys.owner(owner.job()), owner.revision());
    pages.stream().limit(MAX_REMOVED_PAGES).forEach(builder::remove);
    int entries = 2 + pages.size() + owner.owner().parts();
    boolean isLast = entries <= Transaction.MAX_ENTRIES;
    if (isLast) {
      builder.remove(JobKeys.owner(owner.job()));
      for (int part = 0; part < owner.owner().parts(); part++) {
        builder.remove(JobKeys.part(owner.job(), part));
      }
    }
    runner
        .run(builder.build(), APPEND_TIMEOUT)
        .thenAccept(
            reply -> {
              logger.atInfo().log(
                  "event=job_removed job=%s last=%s reply=%s", owner.job(), isLast, reply);
              if (!isLast && reply instanceof TransactionReply.Committed) {
                remove(owner);
              }
            });
  }

  /** Removes the notice of an end once the owner has read it. */
  void removeNotice(JobId job) {
    store
        .transact(Transaction.builder().remove(FleetKeys.endedJob(job)).build())
        .thenAccept(
            reply -> logger.atFine().log("event=notice_removed job=%s reply=%s", job, reply));
  }
}
