package org.magnoliaswitch.front.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the selection of instances that do not coordinate. */
public final class InstanceIndexTest {
  private static Set<Integer> selected(String name, int selectedCount, int count) {
    return IntStream.range(0, count)
        .filter(index -> new InstanceIndex(index, count).selected(name, selectedCount))
        .boxed()
        .collect(Collectors.toSet());
  }

  @DataProvider
  public Object[][] sizes() {
    return new Object[][] {{5}, {6}, {18}, {97}, {300}};
  }

  @Test(dataProvider = "sizes")
  public void selectsExactlyTheRequestedNumber(int count) {
    for (int server = 0; server < 50; server++) {
      assertEquals(selected("i-" + server + "@0", 5, count).size(), 5);
    }
  }

  @Test
  public void selectsAllInstancesIfThereAreFewer() {
    assertEquals(selected("i-1@0", 5, 3), Set.of(0, 1, 2));
  }

  /**
   * When an instance joins, instances that do not know of it yet must select nearly the same set as
   * the others.
   */
  @Test
  public void oneMoreIndexChangesASelectionByOneAtMost() {
    for (int server = 0; server < 200; server++) {
      Set<Integer> both = new HashSet<>(selected("i-" + server + "@0", 5, 97));
      both.addAll(selected("i-" + server + "@0", 5, 98));
      assertTrue(both.size() <= 6, both.toString());
    }
  }

  @Test
  public void anIndexOutOfRangeIsRejected() {
    assertThrows(IllegalArgumentException.class, () -> new InstanceIndex(3, 3));
    assertThrows(IllegalArgumentException.class, () -> new InstanceIndex(-1, 3));
  }
}
