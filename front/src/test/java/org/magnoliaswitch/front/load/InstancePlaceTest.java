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

/** Draws among instances that do not ask each other. */
public final class InstancePlaceTest {
  private static Set<Integer> drawn(String name, int count, int places) {
    return IntStream.range(0, places)
        .filter(index -> new InstancePlace(index, places).drawn(name, count))
        .boxed()
        .collect(Collectors.toSet());
  }

  @DataProvider
  public Object[][] sizes() {
    return new Object[][] {{5}, {6}, {18}, {97}, {300}};
  }

  @Test(dataProvider = "sizes")
  public void exactlyAsManyAreDrawnAsAskedFor(int places) {
    for (int server = 0; server < 50; server++) {
      assertEquals(drawn("i-" + server + "@0", 5, places).size(), 5);
    }
  }

  @Test
  public void whereThereAreFewerAllAreDrawn() {
    assertEquals(drawn("i-1@0", 5, 3), Set.of(0, 1, 2));
  }

  /** Somebody joins; those who have not heard of it must not draw others than those who have. */
  @Test
  public void onePlaceMoreChangesADrawByOneAtMost() {
    for (int server = 0; server < 200; server++) {
      Set<Integer> both = new HashSet<>(drawn("i-" + server + "@0", 5, 97));
      both.addAll(drawn("i-" + server + "@0", 5, 98));
      assertTrue(both.size() <= 6, both.toString());
    }
  }

  @Test
  public void aPlaceLiesAmongThePlaces() {
    assertThrows(IllegalArgumentException.class, () -> new InstancePlace(3, 3));
    assertThrows(IllegalArgumentException.class, () -> new InstancePlace(-1, 3));
  }
}
