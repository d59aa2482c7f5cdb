package org.amaranthstream.http;

import com.google.common.collect.ImmutableList;
import java.util.stream.IntStream;

/** Bytes of a server that stops within the head of one answer and then sends another one. */
public final class CutAnswers {
  private static final String END_OF_HEAD = "\r\n\r\n";

  private CutAnswers() {}

  /** Returns the first bytes of {@code answer}, cut after each byte of its head but the last. */
  public static ImmutableList<String> cutInHead(String answer) {
    int head = answer.indexOf(END_OF_HEAD) + END_OF_HEAD.length();
    return IntStream.range(1, head)
        .mapToObj(length -> answer.substring(0, length))
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Returns {@code next} behind the first bytes of {@code answer}, cut as by {@link #cutInHead}.
   */
  public static ImmutableList<String> joined(String answer, String next) {
    return cutInHead(answer).stream()
        .map(cut -> cut + next)
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the steps of a server that answers each request with one of {@code answers}. */
  public static ScriptedTcpServer.Step[] steps(ImmutableList<String> answers) {
    return answers.stream().map(ScriptedTcpServer::answer).toArray(ScriptedTcpServer.Step[]::new);
  }
}
