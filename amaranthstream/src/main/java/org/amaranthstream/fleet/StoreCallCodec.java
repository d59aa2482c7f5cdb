package org.amaranthstream.fleet;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.amaranthstream.fleet.wire.ChangeList;
import org.amaranthstream.fleet.wire.ChangeRecord;
import org.amaranthstream.fleet.wire.EntryList;
import org.amaranthstream.fleet.wire.EntryRecord;
import org.amaranthstream.fleet.wire.ExpectationRecord;
import org.amaranthstream.fleet.wire.LeaseRecord;
import org.amaranthstream.fleet.wire.RemovalRecord;
import org.amaranthstream.fleet.wire.StoreAnswer;
import org.amaranthstream.fleet.wire.TransactionCall;
import org.amaranthstream.fleet.wire.WriteRecord;
import org.amaranthstream.ids.LeaseId;
import org.amaranthstream.ids.Revision;
import org.amaranthstream.platform.GrantedLease;
import org.amaranthstream.platform.KvChange;
import org.amaranthstream.platform.KvEntry;
import org.amaranthstream.platform.KvPage;
import org.amaranthstream.platform.RenewalReply;
import org.amaranthstream.platform.Transaction;
import org.amaranthstream.platform.TransactionReply;
import org.amaranthstream.platform.WatchReply;
import org.amaranthstream.result.ErrorDetail;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;

/** A codec for store calls and their responses in messages between daemons. */
final class StoreCallCodec {
  private StoreCallCodec() {}

  static TransactionCall encodeCall(Transaction transaction) {
    TransactionCall.Builder call = TransactionCall.newBuilder();
    for (Transaction.Expectation expectation : transaction.expectations()) {
      call.addExpectation(
          ExpectationRecord.newBuilder()
              .setKey(expectation.key())
              .setRevision(expectation.revision().value()));
    }
    for (Transaction.Write write : transaction.writes()) {
      call.addWrite(
          WriteRecord.newBuilder()
              .setKey(write.key())
              .setValue(ByteString.copyFrom(write.value()))
              .setLease(write.lease().map(LeaseId::value).orElse("")));
    }
    return call.addAllRemoval(transaction.removals()).build();
  }

  static Transaction decodeCall(TransactionCall call) {
    Transaction.Builder transaction = Transaction.builder();
    for (ExpectationRecord expectation : call.getExpectationList()) {
      transaction.expect(expectation.getKey(), Revision.of(expectation.getRevision()));
    }
    for (WriteRecord write : call.getWriteList()) {
      byte[] value = write.getValue().toByteArray();
      if (write.getLease().isEmpty()) {
        transaction.put(write.getKey(), value);
      } else {
        transaction.put(write.getKey(), value, LeaseId.of(write.getLease()));
      }
    }
    call.getRemovalList().forEach(transaction::remove);
    return transaction.build();
  }

  private static EntryRecord record(KvEntry entry) {
    return EntryRecord.newBuilder()
        .setKey(entry.key())
        .setValue(ByteString.copyFrom(entry.value()))
        .setRevision(entry.revision().value())
        .build();
  }

  private static KvEntry entry(EntryRecord entry) {
    return new KvEntry(
        entry.getKey(), entry.getValue().toByteArray(), Revision.of(entry.getRevision()));
  }

  private static ImmutableList<KvEntry> entries(EntryList list) {
    return list.getEntryList().stream()
        .map(StoreCallCodec::entry)
        .collect(ImmutableList.toImmutableList());
  }

  private static EntryList list(List<KvEntry> entries) {
    EntryList.Builder list = EntryList.newBuilder();
    entries.forEach(entry -> list.addEntry(record(entry)));
    return list.build();
  }

  private static StoreAnswer notDone(ErrorDetail error) {
    return StoreAnswer.newBuilder().setNotDone(error.message()).build();
  }

  private static StoreAnswer done() {
    return StoreAnswer.newBuilder().setDone(true).build();
  }

  static StoreAnswer encodeEntry(Result<Optional<KvEntry>> result) {
    if (result instanceof Result.Failure<Optional<KvEntry>> failure) {
      return notDone(failure.error());
    }
    Optional<KvEntry> entry = ((Result.Success<Optional<KvEntry>>) result).value();
    return StoreAnswer.newBuilder().setEntries(list(entry.map(List::of).orElse(List.of()))).build();
  }

  static Result<Optional<KvEntry>> decodeEntry(StoreAnswer response) {
    return response.hasEntries()
        ? Result.success(entries(response.getEntries()).stream().findFirst())
        : failure(response);
  }

  static StoreAnswer encodePage(Result<KvPage> result) {
    if (result instanceof Result.Failure<KvPage> failure) {
      return notDone(failure.error());
    }
    KvPage page = ((Result.Success<KvPage>) result).value();
    EntryList.Builder list =
        list(page.entries()).toBuilder()
            .setHasMore(page.hasMore())
            .setRevision(page.revision().value());
    return StoreAnswer.newBuilder().setEntries(list).build();
  }

  static Result<KvPage> decodePage(StoreAnswer response) {
    if (!response.hasEntries()) {
      return failure(response);
    }
    EntryList list = response.getEntries();
    return Result.success(
        new KvPage(entries(list), list.getHasMore(), Revision.of(list.getRevision())));
  }

  static StoreAnswer encodeWatch(WatchReply reply) {
    if (reply instanceof WatchReply.HistoryLost) {
      return StoreAnswer.newBuilder().setHistoryLost(true).build();
    }
    if (reply instanceof WatchReply.Failed failed) {
      return notDone(failed.error());
    }
    WatchReply.Changes changes = (WatchReply.Changes) reply;
    ChangeList.Builder list = ChangeList.newBuilder().setRevision(changes.revision().value());
    changes.changes().forEach(change -> list.addChange(changeRecord(change)));
    return StoreAnswer.newBuilder().setChanges(list).build();
  }

  private static ChangeRecord changeRecord(KvChange change) {
    if (change instanceof KvChange.Put put) {
      return ChangeRecord.newBuilder().setPut(record(put.entry())).build();
    }
    RemovalRecord removed =
        RemovalRecord.newBuilder()
            .setKey(change.key())
            .setRevision(change.revision().value())
            .build();
    return ChangeRecord.newBuilder().setRemoved(removed).build();
  }

  private static KvChange change(ChangeRecord change) {
    return change.hasPut()
        ? new KvChange.Put(entry(change.getPut()))
        : new KvChange.Removed(
            change.getRemoved().getKey(), Revision.of(change.getRemoved().getRevision()));
  }

  static WatchReply decodeWatch(StoreAnswer response) {
    if (response.getHistoryLost()) {
      return new WatchReply.HistoryLost();
    }
    if (!response.hasChanges()) {
      return new WatchReply.Failed(error(response));
    }
    ChangeList list = response.getChanges();
    return new WatchReply.Changes(
        list.getChangeList().stream()
            .map(StoreCallCodec::change)
            .collect(ImmutableList.toImmutableList()),
        Revision.of(list.getRevision()),
        true);
  }

  static StoreAnswer encodeTransaction(TransactionReply reply) {
    StoreAnswer.Builder response = StoreAnswer.newBuilder();
    if (reply instanceof TransactionReply.Committed committed) {
      response.setCommitted(committed.revision().value());
    } else if (reply instanceof TransactionReply.Conflict conflict) {
      response.setConflict(list(conflict.current()));
    } else if (reply instanceof TransactionReply.NotDone notDone) {
      response.setNotDone(notDone.error().message());
    } else if (reply instanceof TransactionReply.Unknown unknown) {
      response.setUnknown(unknown.error().message());
    } else {
      response.setLeaseEnded(true);
    }
    return response.build();
  }

  static TransactionReply decodeTransaction(StoreAnswer response) {
    return switch (response.getBodyCase()) {
      case COMMITTED -> new TransactionReply.Committed(Revision.of(response.getCommitted()));
      case CONFLICT -> new TransactionReply.Conflict(entries(response.getConflict()));
      case LEASE_ENDED -> new TransactionReply.LeaseEnded();
      case NOT_DONE -> new TransactionReply.NotDone(error(response));
      default -> new TransactionReply.Unknown(error(response));
    };
  }

  static StoreAnswer encodeGrant(Result<GrantedLease> result) {
    if (result instanceof Result.Failure<GrantedLease> failure) {
      return notDone(failure.error());
    }
    GrantedLease lease = ((Result.Success<GrantedLease>) result).value();
    return StoreAnswer.newBuilder()
        .setGranted(
            LeaseRecord.newBuilder().setLease(lease.id().value()).setTtlMs(lease.ttl().toMillis()))
        .build();
  }

  static Result<GrantedLease> decodeGrant(StoreAnswer response) {
    LeaseRecord lease = response.getGranted();
    return response.hasGranted()
        ? Result.success(
            new GrantedLease(LeaseId.of(lease.getLease()), Duration.ofMillis(lease.getTtlMs())))
        : failure(response);
  }

  static StoreAnswer encodeRenewal(RenewalReply reply) {
    if (reply instanceof RenewalReply.Renewed) {
      return done();
    }
    return reply instanceof RenewalReply.Failed failed
        ? notDone(failed.error())
        : StoreAnswer.newBuilder().setLeaseEnded(true).build();
  }

  static RenewalReply decodeRenewal(StoreAnswer response) {
    return switch (response.getBodyCase()) {
      case DONE -> new RenewalReply.Renewed();
      case LEASE_ENDED -> new RenewalReply.Ended();
      default -> new RenewalReply.Failed(error(response));
    };
  }

  static StoreAnswer encodeEnd(Result<LeaseId> result) {
    return result instanceof Result.Failure<LeaseId> failure ? notDone(failure.error()) : done();
  }

  static Result<LeaseId> decodeEnd(StoreAnswer response, LeaseId lease) {
    return response.hasDone() ? Result.success(lease) : failure(response);
  }

  private static <T> Result<T> failure(StoreAnswer response) {
    return Result.failure(error(response));
  }

  private static ErrorDetail error(StoreAnswer response) {
    String message = response.hasUnknown() ? response.getUnknown() : response.getNotDone();
    return ErrorDetail.of(ResultCode.PLATFORM_UNAVAILABLE, "over a peer: " + message);
  }
}
