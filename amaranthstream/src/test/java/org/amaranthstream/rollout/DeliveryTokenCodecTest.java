package org.amaranthstream.rollout;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableList;
import java.util.Base64;
import java.util.Optional;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.StepId;
import org.amaranthstream.ids.TrainerId;
import org.amaranthstream.ids.WorkClassId;
import org.amaranthstream.result.Result;
import org.amaranthstream.result.ResultCode;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DeliveryTokenCodecTest {
  private static final StepSpec SPEC =
      new StepSpec(
          WorkClassId.of("coding"), ImmutableList.of(PromptGroup.of("steel bolts")), 4_096, 16, 7);
  private static final DeliveryToken TOKEN =
      DeliveryToken.initial(StepId.of(TrainerId.of("coder"), 12), SPEC, EntryVmId.of("lisboa-a-1"))
          .next(
              3,
              Optional.of(EntryVmId.of("lisboa-a-1")),
              IntStream.range(1, 4_096).boxed().toList());

  private final DeliveryTokenCodec codec = TestTokens.codec("k1");

  private static ResultCode codeOf(Result<DeliveryToken> result) {
    return ((Result.Failure<DeliveryToken>) result).error().code();
  }

  @Nested
  class Decode {
    @Test
    void returnsTheEncodedToken() {
      assertThat(codec.decode(codec.encode(TOKEN))).isEqualTo(Result.success(TOKEN));
    }

    @Test
    void verifiesWithAnyKeyAndSignsWithTheFirst() {
      DeliveryTokenCodec rotating = TestTokens.codec("k2", "k1");

      assertThat(rotating.decode(codec.encode(TOKEN))).isEqualTo(Result.success(TOKEN));
      assertThat(codeOf(codec.decode(rotating.encode(TOKEN)))).isEqualTo(ResultCode.INVALID_TOKEN);
    }

    @Test
    void rejectsMalformedText() {
      assertThat(codeOf(codec.decode(""))).isEqualTo(ResultCode.INVALID_TOKEN);
      assertThat(codeOf(codec.decode("not base64!"))).isEqualTo(ResultCode.INVALID_TOKEN);
      assertThat(codeOf(codec.decode("AAAA".repeat(2_000)))).isEqualTo(ResultCode.INVALID_TOKEN);
    }
  }

  @Test
  void acceptsTokenOfTheLargestStep() {
    StepSpec largest =
        new StepSpec(
            WorkClassId.of("c".repeat(128)),
            ImmutableList.of(PromptGroup.of("p")),
            StepSpec.MAX_SLOTS,
            1,
            0);
    EntryVmId owner = EntryVmId.of("v".repeat(128));
    DeliveryToken token =
        DeliveryToken.initial(
                StepId.of(TrainerId.of("t".repeat(128)), Long.MAX_VALUE), largest, owner)
            .next(
                Long.MAX_VALUE,
                Optional.of(owner),
                IntStream.range(0, StepSpec.MAX_SLOTS).boxed().toList());

    assertThat(codec.decode(codec.encode(token))).isEqualTo(Result.success(token));
  }

  @Test
  void rejectsKeysWithTheSameId() {
    assertThrows(IllegalArgumentException.class, () -> TestTokens.codec("k1", "k1"));
  }

  @Property(tries = 2_000, seed = "20261")
  void rejectsTokenWithChangedBit(@ForAll @IntRange(max = 7_000) int bit) {
    byte[] bytes = Base64.getUrlDecoder().decode(codec.encode(TOKEN));
    int index = bit % (bytes.length * 8);
    bytes[index / 8] ^= (byte) (1 << (index % 8));

    String changed = Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);

    assertThat(codeOf(codec.decode(changed))).isEqualTo(ResultCode.INVALID_TOKEN);
  }
}
