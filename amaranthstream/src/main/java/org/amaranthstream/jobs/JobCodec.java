package org.amaranthstream.jobs;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableSortedSet;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnsafeByteOperations;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.GroupId;
import org.amaranthstream.ids.Incarnation;
import org.amaranthstream.ids.ItemId;
import org.amaranthstream.ids.JobId;
import org.amaranthstream.ids.ModelId;
import org.amaranthstream.ids.RewardCallId;
import org.amaranthstream.ids.SoftwareVersion;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.ids.WorkspaceId;
import org.amaranthstream.jobs.wire.HeaderRecord;
import org.amaranthstream.jobs.wire.ItemRecord;
import org.amaranthstream.jobs.wire.JobRecord;
import org.amaranthstream.jobs.wire.OwnerRecord;
import org.amaranthstream.jobs.wire.PartialRecord;
import org.amaranthstream.jobs.wire.ProgressPage;
import org.amaranthstream.jobs.wire.ResultPage;
import org.amaranthstream.jobs.wire.ResultRecord;
import org.amaranthstream.jobs.wire.RewardCallRecord;
import org.amaranthstream.jobs.wire.TextRecord;

/** Codec between batch jobs and the protobuf records of the store and of peer links. */
final class JobCodec {
  /** Value of {@code expected_tokens} if the caller gave no estimate. */
  private static final long NO_ESTIMATE = 0;

  private JobCodec() {}

  static JobRecord encodeJob(JobSpec spec) {
    JobRecord.Builder builder =
        JobRecord.newBuilder()
            .setJob(spec.id().value())
            .setHost(spec.host())
            .setPath(spec.path())
            .setStep(spec.step())
            .setModel(spec.model().value())
            .setMinVersion(spec.minVersion().value())
            .setWantedGroups(spec.wantedGroups());
    spec.workspace().ifPresent(workspace -> builder.setWorkspace(workspace.value()));
    spec.items().forEach(item -> builder.addItem(encodeItem(item)));
    return builder.build();
  }

  private static ItemRecord encodeItem(ItemSpec item) {
    ItemRecord.Builder builder =
        ItemRecord.newBuilder()
            .setItem(item.id().value())
            .setPath(item.path())
            .setBody(UnsafeByteOperations.unsafeWrap(item.body()))
            .setTokens(item.tokens())
            .setExpectedTokens(item.expectedTokens().orElse(NO_ESTIMATE))
            .setGroup(item.group().value());
    item.headers()
        .forEach(
            (name, value) ->
                builder.addHeader(HeaderRecord.newBuilder().setName(name).setValue(value)));
    item.rewardCall().ifPresent(call -> builder.setRewardCall(encodeRewardCall(call)));
    return builder.build();
  }

  private static RewardCallRecord encodeRewardCall(RewardCall call) {
    return RewardCallRecord.newBuilder()
        .setId(call.id().value())
        .setHost(call.host())
        .setPath(call.path())
        .setBody(UnsafeByteOperations.unsafeWrap(call.body()))
        .build();
  }

  /**
   * Decodes a job.
   *
   * @throws IllegalArgumentException if a field of the record is out of range
   */
  static JobSpec decodeJob(JobRecord job) {
    return new JobSpec(
        JobId.of(
            job.hasWorkspace() ? Optional.of(WorkspaceId.of(job.getWorkspace())) : Optional.empty(),
            job.getJob()),
        job.getHost(),
        job.getPath(),
        job.getStep(),
        ModelId.of(job.getModel()),
        WeightVersion.of(job.getMinVersion()),
        job.getWantedGroups(),
        job.getItemList().stream()
            .map(JobCodec::decodeItem)
            .collect(ImmutableList.toImmutableList()));
  }

  private static ItemSpec decodeItem(ItemRecord item) {
    ImmutableListMultimap.Builder<String, String> headers = ImmutableListMultimap.builder();
    item.getHeaderList().forEach(header -> headers.put(header.getName(), header.getValue()));
    return new ItemSpec(
        ItemId.of(item.getItem()),
        item.getPath(),
        headers.build(),
        item.getBody().toByteArray(),
        item.getTokens(),
        item.getExpectedTokens() == NO_ESTIMATE
            ? OptionalLong.empty()
            : OptionalLong.of(item.getExpectedTokens()),
        GroupId.of(item.getGroup()),
        item.hasRewardCall()
            ? Optional.of(decodeRewardCall(item.getRewardCall()))
            : Optional.empty());
  }

  private static RewardCall decodeRewardCall(RewardCallRecord call) {
    return new RewardCall(
        RewardCallId.of(call.getId()),
        call.getHost(),
        call.getPath(),
        call.getBody().toByteArray());
  }

  private static Optional<Score> decodeScore(String score) {
    return score.isEmpty() ? Optional.empty() : Optional.of(new Score(score));
  }

  private static Optional<SoftwareVersion> decodeSoftware(String software) {
    return software.isEmpty() ? Optional.empty() : Optional.of(SoftwareVersion.of(software));
  }

  static byte[] encodeOwner(JobOwner owner) {
    return ownerRecord(owner).toByteArray();
  }

  static OwnerRecord ownerRecord(JobOwner owner) {
    return OwnerRecord.newBuilder()
        .setVm(owner.vm().value())
        .setIncarnation(owner.incarnation().value())
        .setEpoch(owner.epoch())
        .setEnded(owner.isEnded())
        .setAcceptedMs(owner.acceptedMillis())
        .setItems(owner.items())
        .setParts(owner.parts())
        .setNonce(owner.nonce())
        .build();
  }

  /** Decodes an owner; empty if the value is not a valid record. */
  static Optional<JobOwner> decodeOwner(byte[] value) {
    try {
      return Optional.of(owner(OwnerRecord.parseFrom(value)));
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  /**
   * Decodes an owner.
   *
   * @throws IllegalArgumentException if an id in the record is malformed
   */
  static JobOwner owner(OwnerRecord owner) {
    return new JobOwner(
        EntryVmId.of(owner.getVm()),
        Incarnation.of(owner.getIncarnation()),
        owner.getEpoch(),
        owner.getEnded(),
        owner.getAcceptedMs(),
        owner.getItems(),
        owner.getParts(),
        owner.getNonce());
  }

  static PartialRecord encodePartial(PartialOutput partial) {
    PartialRecord.Builder builder =
        PartialRecord.newBuilder()
            .setItem(partial.item().value())
            .setText(UnsafeByteOperations.unsafeWrap(partial.text()))
            .setLastEvent(partial.lastEvent())
            .setWhole(partial.isComplete());
    partial.versions().forEach(version -> builder.addVersion(version.value()));
    partial.softwareVersion().ifPresent(software -> builder.setSoftware(software.value()));
    partial.score().ifPresent(score -> builder.setScore(score.value()));
    return builder.build();
  }

  static PartialOutput decodePartial(PartialRecord partial) {
    return new PartialOutput(
        ItemId.of(partial.getItem()),
        partial.getText().toByteArray(),
        partial.getLastEvent(),
        versions(partial.getVersionList()),
        decodeSoftware(partial.getSoftware()),
        partial.getWhole(),
        decodeScore(partial.getScore()));
  }

  private static ImmutableSortedSet<WeightVersion> versions(List<Long> versions) {
    return versions.stream()
        .map(WeightVersion::of)
        .collect(ImmutableSortedSet.toImmutableSortedSet(WeightVersion::compareTo));
  }

  static byte[] encodeProgress(List<CheckpointPart> parts, long nonce) {
    ProgressPage.Builder page = ProgressPage.newBuilder().setNonce(nonce);
    parts.forEach(part -> page.addText(encodeText(part)));
    return page.build().toByteArray();
  }

  private static TextRecord encodeText(CheckpointPart part) {
    TextRecord.Builder builder =
        TextRecord.newBuilder()
            .setItem(part.item().value())
            .setOffset(part.offset())
            .setText(UnsafeByteOperations.unsafeWrap(part.text()))
            .setLastEvent(part.lastEvent())
            .setWhole(part.isComplete());
    part.versions().forEach(version -> builder.addVersion(version.value()));
    part.softwareVersion().ifPresent(software -> builder.setSoftware(software.value()));
    return builder.build();
  }

  static ImmutableList<CheckpointPart> decodeProgress(byte[] value)
      throws InvalidProtocolBufferException {
    return ProgressPage.parseFrom(value).getTextList().stream()
        .map(JobCodec::decodeText)
        .collect(ImmutableList.toImmutableList());
  }

  private static CheckpointPart decodeText(TextRecord text) {
    return new CheckpointPart(
        ItemId.of(text.getItem()),
        text.getOffset(),
        text.getText().toByteArray(),
        text.getLastEvent(),
        versions(text.getVersionList()),
        decodeSoftware(text.getSoftware()),
        text.getWhole());
  }

  static ResultRecord encodeResult(ItemResult result) {
    ResultRecord.Builder builder =
        ResultRecord.newBuilder()
            .setItem(result.item().value())
            .setComplete(result.isComplete())
            .setText(UnsafeByteOperations.unsafeWrap(result.text()));
    result.versions().forEach(version -> builder.addVersion(version.value()));
    result.score().ifPresent(score -> builder.setScore(score.value()));
    return builder.build();
  }

  static ItemResult decodeResult(ResultRecord result) {
    return new ItemResult(
        ItemId.of(result.getItem()),
        result.getComplete(),
        result.getText().toByteArray(),
        versions(result.getVersionList()),
        decodeScore(result.getScore()));
  }

  static byte[] encodePage(List<ItemResult> results, long nonce) {
    ResultPage.Builder page = ResultPage.newBuilder().setNonce(nonce);
    results.forEach(result -> page.addResult(encodeResult(result)));
    return page.build().toByteArray();
  }

  static ImmutableList<ItemResult> decodePage(byte[] value) throws InvalidProtocolBufferException {
    return ResultPage.parseFrom(value).getResultList().stream()
        .map(JobCodec::decodeResult)
        .collect(ImmutableList.toImmutableList());
  }
}
