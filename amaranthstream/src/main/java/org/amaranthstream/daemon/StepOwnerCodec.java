package org.amaranthstream.daemon;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import org.amaranthstream.ids.StepId;
import org.amaranthstream.ids.TrainerId;
import org.amaranthstream.ids.WeightVersion;
import org.amaranthstream.ids.WorkClassId;
import org.amaranthstream.rollout.Page;
import org.amaranthstream.rollout.PromptGroup;
import org.amaranthstream.rollout.PullRequest;
import org.amaranthstream.rollout.Sample;
import org.amaranthstream.rollout.Segment;
import org.amaranthstream.rollout.StepAccepted;
import org.amaranthstream.rollout.StepSpec;
import org.amaranthstream.rollout.wire.OwnerRequest;
import org.amaranthstream.rollout.wire.PageSample;
import org.amaranthstream.rollout.wire.SamplePage;
import org.amaranthstream.rollout.wire.StepAcceptance;
import org.amaranthstream.rollout.wire.StepPull;
import org.amaranthstream.rollout.wire.StepSubmission;
import org.amaranthstream.rollout.wire.VersionSegment;

/**
 * Codec of the queries and responses between entry VMs about training steps.
 *
 * <p>Methods that decode throw {@link IllegalArgumentException} if a field is out of range.
 */
final class StepOwnerCodec {
  private StepOwnerCodec() {}

  static byte[] encodeSubmission(StepId step, StepSpec spec) {
    StepSubmission.Builder submission =
        StepSubmission.newBuilder()
            .setWorkClass(spec.workClass().value())
            .setSamplesPerGroup(spec.samplesPerGroup())
            .setMaxTokens(spec.maxTokens())
            .setSeed(spec.seed());
    spec.groups().forEach(group -> submission.addPrompt(group.prompt()));
    return newRequest(step).setSubmission(submission).build().toByteArray();
  }

  static byte[] encodePull(PullRequest request) {
    StepPull.Builder pull =
        StepPull.newBuilder()
            .setToken(request.token())
            .setPull(request.pull())
            .setTrainerVersion(request.trainerVersion().value())
            .setMaxSamples(request.max())
            .setWaitMs(request.maxWait().toMillis());
    return newRequest(request.step()).setPull(pull).build().toByteArray();
  }

  private static OwnerRequest.Builder newRequest(StepId step) {
    return OwnerRequest.newBuilder()
        .setTrainer(step.trainer().value())
        .setStep(step.number().value());
  }

  static StepId decodeStep(OwnerRequest request) {
    return StepId.of(TrainerId.of(request.getTrainer()), request.getStep());
  }

  static StepSpec decodeSpec(StepSubmission submission) {
    return new StepSpec(
        WorkClassId.of(submission.getWorkClass()),
        submission.getPromptList().stream()
            .map(PromptGroup::of)
            .collect(ImmutableList.toImmutableList()),
        submission.getSamplesPerGroup(),
        submission.getMaxTokens(),
        submission.getSeed());
  }

  static PullRequest decodePull(StepId step, StepPull pull) {
    return new PullRequest(
        step,
        pull.getToken(),
        pull.getPull(),
        WeightVersion.of(pull.getTrainerVersion()),
        pull.getMaxSamples(),
        Duration.ofMillis(pull.getWaitMs()));
  }

  static byte[] encodeAccepted(StepAccepted accepted) {
    return StepAcceptance.newBuilder()
        .setSlots(accepted.slots())
        .setToken(accepted.token())
        .build()
        .toByteArray();
  }

  static StepAccepted decodeAccepted(byte[] bytes) throws InvalidProtocolBufferException {
    StepAcceptance acceptance = StepAcceptance.parseFrom(bytes);
    return new StepAccepted(acceptance.getSlots(), acceptance.getToken());
  }

  static byte[] encodePage(Page page) {
    SamplePage.Builder wire =
        SamplePage.newBuilder()
            .setPull(page.pull())
            .setToken(page.token())
            .setRemaining(page.remaining())
            .setDone(page.done());
    page.samples().forEach(sample -> wire.addSample(encodeSample(sample)));
    return wire.build().toByteArray();
  }

  private static PageSample encodeSample(Sample sample) {
    PageSample.Builder wire =
        PageSample.newBuilder()
            .setSlot(sample.slot())
            .setGroup(sample.group())
            .setText(sample.text())
            .setTokens(sample.tokens());
    for (Segment segment : sample.segments()) {
      wire.addSegment(
          VersionSegment.newBuilder()
              .setVersion(segment.version().value())
              .setTokens(segment.tokens()));
    }
    return wire.build();
  }

  static Page decodePage(byte[] bytes) throws InvalidProtocolBufferException {
    SamplePage wire = SamplePage.parseFrom(bytes);
    return new Page(
        wire.getPull(),
        wire.getToken(),
        wire.getSampleList().stream()
            .map(StepOwnerCodec::decodeSample)
            .collect(ImmutableList.toImmutableList()),
        wire.getRemaining(),
        wire.getDone());
  }

  private static Sample decodeSample(PageSample wire) {
    return new Sample(
        wire.getSlot(),
        wire.getGroup(),
        wire.getText(),
        wire.getTokens(),
        wire.getSegmentList().stream()
            .map(s -> new Segment(WeightVersion.of(s.getVersion()), s.getTokens()))
            .collect(ImmutableList.toImmutableList()));
  }
}
