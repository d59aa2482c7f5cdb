package org.amaranthstream.jobs;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.MapMaker;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.amaranthstream.prompts.Prompt;
import org.amaranthstream.prompts.PromptCosts;
import org.amaranthstream.prompts.PromptReader;
import org.amaranthstream.prompts.PromptRun;
import org.amaranthstream.servers.TrackedServer;

/**
 * Costs of reading the prompts of items, which the items of a group share.
 *
 * <p>Must be used on the thread of the scheduler.
 */
public final class ItemPrompts implements ItemPromptCosts {
  private final PromptReader reader;
  private final PromptCosts costs;

  /** The prompts of the items of open jobs, by identity. */
  private final Map<ItemSpec, Optional<Prompt>> prompts = new MapMaker().weakKeys().makeMap();

  private ItemPrompts(PromptReader reader, PromptCosts costs) {
    this.reader = reader;
    this.costs = costs;
  }

  /**
   * Returns the costs of items.
   *
   * @param reader the reader of the prompts that items describe
   * @param costs the costs of a prompt at each server, shared with the requests of callers
   */
  public static ItemPrompts create(PromptReader reader, PromptCosts costs) {
    return new ItemPrompts(checkNotNull(reader, "reader"), checkNotNull(costs, "costs"));
  }

  private Optional<Prompt> promptOf(ItemSpec item) {
    return prompts.computeIfAbsent(item, spec -> reader.read(spec.headers().entries()));
  }

  @Override
  public Duration prefillTime(TrackedServer server, ItemSpec item) {
    return promptOf(item).map(prompt -> costs.readTime(server, prompt)).orElse(Duration.ZERO);
  }

  @Override
  public PromptRun begin(TrackedServer server, ItemSpec item) {
    return promptOf(item).map(prompt -> costs.begin(server, prompt)).orElse(PromptRun.UNTRACKED);
  }
}
