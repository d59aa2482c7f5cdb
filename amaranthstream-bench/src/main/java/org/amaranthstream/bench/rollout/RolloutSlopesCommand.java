package org.amaranthstream.bench.rollout;

import com.google.common.collect.ImmutableList;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.IntStream;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.amaranthstream.bench.BenchCommand;
import org.amaranthstream.ids.EntryVmId;
import org.amaranthstream.ids.StepId;
import org.amaranthstream.ids.TrainerId;
import org.amaranthstream.rollout.DeliveryToken;
import org.amaranthstream.rollout.DeliveryTokenCodec;
import org.amaranthstream.rollout.SlotSet;
import org.amaranthstream.rollout.SpecDigest;
import org.amaranthstream.rollout.TokenKey;

/** Command that measures the size of delivery tokens and the time to encode and decode them. */
public final class RolloutSlopesCommand implements BenchCommand {
  private static final int[] SLOT_COUNTS = {512, 1_024, 4_096, 16_384};
  private static final int ROUNDS = 5_000;
  private static final double NANOS_PER_MICRO = 1e3;

  @Override
  public String name() {
    return "rollout-slopes";
  }

  @Override
  public void configure(Subparser parser) {
    parser.help("measure the size and coding time of delivery tokens");
  }

  @Override
  public int run(Namespace arguments) {
    TokenKey key = TokenKey.of("k1", "0123456789abcdef".getBytes(StandardCharsets.UTF_8));
    DeliveryTokenCodec codec = DeliveryTokenCodec.of(ImmutableList.of(key));
    System.out.println("| slots | token bytes | encode and decode, microseconds |");
    System.out.println("|---|---|---|");
    for (int slots : SLOT_COUNTS) {
      DeliveryToken token = token(slots);
      double firstMicros = microsPerRound(codec, token);
      System.out.printf(
          Locale.ROOT,
          "| %d | %d | %.1f |%n",
          slots,
          codec.encode(token).length(),
          Math.min(firstMicros, microsPerRound(codec, token)));
    }
    return 0;
  }

  private static DeliveryToken token(int slots) {
    return new DeliveryToken(
        StepId.of(TrainerId.of("coder"), 12),
        SpecDigest.of("0".repeat(32)),
        9,
        Optional.of(EntryVmId.of("lisboa-a-1")),
        SlotSet.empty(slots).with(IntStream.range(1, slots).boxed().toList()));
  }

  private static double microsPerRound(DeliveryTokenCodec codec, DeliveryToken token) {
    long start = System.nanoTime();
    for (int i = 0; i < ROUNDS; i++) {
      codec.decode(codec.encode(token));
    }
    return (System.nanoTime() - start) / NANOS_PER_MICRO / ROUNDS;
  }
}
