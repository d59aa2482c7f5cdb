package org.amaranthstream.decisions;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Joiner;
import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.RequestId;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;

/**
 * Formatter that explains the decisions about a request to an operator: what was decided, based on
 * which values, and what to do.
 *
 * <p>Immutable and thread safe.
 *
 * <pre>{@code
 * Explainer explainer = Explainer.of(vm, incarnation);
 * Result<String> text = explainer.explain(id, history.of(id));
 * }</pre>
 */
public final class Explainer {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final EntryVmId ownVm;
  private final Incarnation ownIncarnation;

  private Explainer(EntryVmId ownVm, Incarnation ownIncarnation) {
    this.ownVm = ownVm;
    this.ownIncarnation = ownIncarnation;
  }

  /** Returns the explainer of one incarnation of an entry VM. */
  public static Explainer of(EntryVmId vm, Incarnation incarnation) {
    return new Explainer(checkNotNull(vm, "vm"), checkNotNull(incarnation, "incarnation"));
  }

  /**
   * Explains a request from its remaining records, oldest first.
   *
   * @return the sentences, or {@link ResultCode#RECORD_LOST} with the likely cause
   */
  public Result<String> explain(RequestId id, ImmutableList<DecisionRecord> records) {
    if (records.isEmpty()) {
      return Result.failure(ResultCode.RECORD_LOST, describeLoss(id));
    }
    List<String> sentences = new ArrayList<>();
    if (areFirstRecordsEvicted(records)) {
      sentences.add("The first records of request " + id + " were evicted.");
    }
    long start = records.get(0).atNanos();
    for (DecisionRecord decision : records) {
      long millis = (decision.atNanos() - start) / NANOS_PER_MILLI;
      sentences.add("After " + millis + " ms: " + sentence(decision));
    }
    adviceOf(records).ifPresent(sentences::add);
    return Result.success(Joiner.on('\n').join(sentences));
  }

  private String describeLoss(RequestId id) {
    if (!id.vm().equals(ownVm)) {
      return "Entry VM " + ownVm + " has no record of request " + id + "; ask " + id.vm() + ".";
    }
    if (!id.incarnation().equals(ownIncarnation)) {
      return "The records of request "
          + id
          + " were lost with run "
          + id.incarnation()
          + " of entry VM "
          + ownVm
          + "; its data folder, if it has one, may hold them in decisions.jsonl.";
    }
    return "Entry VM "
        + ownVm
        + " holds no record of request "
        + id
        + ": newer records replaced them, or it never received the request.";
  }

  private static boolean areFirstRecordsEvicted(List<DecisionRecord> records) {
    return switch (records.get(0).kind()) {
      case ADMIT, REFUSE, QUARANTINE, CLAIM -> false;
      default -> true;
    };
  }

  private static String sentence(DecisionRecord decision) {
    String action =
        switch (decision.kind()) {
          case ADMIT -> "admitted as " + decision.choice();
          case REFUSE -> "refused with " + decision.choice() + ", it was not run";
          case QUEUE -> "put into the queue of " + decision.choice();
          case PLACE -> "sent to backend server " + decision.choice();
          case FORWARD -> "forwarded to availability zone " + decision.choice();
          case RETRY -> "retried " + decision.choice();
          case RESUME -> "resumed elsewhere from " + decision.choice();
          case CANCEL -> "cancelled, outcome " + decision.choice();
          case DROP -> "dropped with " + decision.choice();
          case QUARANTINE -> "refused with " + decision.choice() + ", it was not run";
          case CLAIM -> "claimed: " + decision.choice();
          case COMPLETE -> "answered completely by " + decision.choice();
          case FAIL -> "failed with " + decision.choice();
        };
    return action + " (" + decision.reason() + ").";
  }

  private static Optional<String> adviceOf(ImmutableList<DecisionRecord> records) {
    DecisionRecord last = records.get(records.size() - 1);
    if (last.kind() == DecisionKind.COMPLETE) {
      return Optional.empty();
    }
    return Advice.forCode(last.choice()).map(advice -> "What to do: " + advice);
  }
}
