package org.magnoliaswitch.front.load;

import static org.testng.Assert.assertEquals;

import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the parser of the load reports of servers. */
public final class LoadSampleTest {
  @DataProvider
  public Object[][] reports() {
    return new Object[][] {
      {"3,0,8", Optional.of(new LoadSample(3, 0, 8, 1))},
      {"3,2,8,400", Optional.of(new LoadSample(3, 2, 8, 4))},
      {" 1 , 0 , 6 , 100 ", Optional.of(new LoadSample(1, 0, 6, 1))},
      {"1,0,6,0", Optional.of(new LoadSample(1, 0, 6, 1))},
      {"1,0,6,100,77", Optional.of(new LoadSample(1, 0, 6, 1))},
      {"-1,0,0,100", Optional.of(new LoadSample(0, 0, 1, 1))},
      {"1,0", Optional.empty()},
      {"a,b,c", Optional.empty()},
      {"1,0,6,NaN", Optional.of(new LoadSample(1, 0, 6, 1))},
      {"", Optional.empty()},
    };
  }

  @Test(dataProvider = "reports")
  public void parsesValidReportsOnly(String text, Optional<LoadSample> expected) {
    assertEquals(LoadSample.parse(text), expected);
  }
}
