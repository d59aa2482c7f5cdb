package org.amaranthstream.result;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.Arrays;
import java.util.List;
import org.amaranthstream.docs.DocTable;
import org.junit.jupiter.api.Test;

class ResultCodesPageTest {
  private final ImmutableList<List<String>> rows = DocTable.rows("RESULT-CODES.md");

  @Test
  void listsNumberNameAndStatusOfEveryCode() {
    assertThat(rows.stream().map(row -> row.subList(0, 3)).toList())
        .containsExactlyElementsIn(
            Arrays.stream(ResultCode.values())
                .map(
                    code ->
                        List.of(
                            String.valueOf(code.number()),
                            code.name(),
                            String.valueOf(code.httpStatus())))
                .toList());
  }

  @Test
  void explainsMeaningAndActionOfEveryCode() {
    for (List<String> row : rows) {
      assertThat(row).hasSize(5);
      assertThat(row.get(3)).isNotEmpty();
      assertThat(row.get(4)).isNotEmpty();
    }
  }
}
