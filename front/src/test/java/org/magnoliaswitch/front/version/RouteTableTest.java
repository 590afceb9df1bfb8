package org.magnoliaswitch.front.version;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which route a request is assigned to. */
public final class RouteTableTest {
  private static Route route(String name, String host, String prefix) {
    List<WeightedService> services = List.of(new WeightedService("s", 1));
    return new Route(name, host, prefix, true, 1, 1, 0, 1, services);
  }

  private final RouteTable table =
      new RouteTable(
          1,
          List.of(
              route("short", "a.example", "/x/"),
              route("long", "a.example", "/x/y/"),
              route("other", "b.example", "/")),
          List.of(),
          CallerLimits.DEFAULT);

  @DataProvider
  public Object[][] requests() {
    return new Object[][] {
      {"a.example", "/x/1", "short"},
      {"a.example", "/x/y/1", "long"},
      {"A.Example:8080", "/x/y/?q=/z/", "long"},
      {"a.example", "/x/yy", "short"},
      {"a.example", "/x", "-"},
      {"a.example", "/", "-"},
      {"b.example", "/anything", "other"},
      {"b.example", "http://b.example/anything", "other"},
      {"c.example", "/x/", "-"},
      {"", "/x/", "-"},
    };
  }

  @Test(dataProvider = "requests")
  public void routeWithLongestPrefixOfHostIsFound(String host, String target, String expected) {
    assertEquals(table.find(host, target).map(Route::name).orElse("-"), expected);
  }
}
