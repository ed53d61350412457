package gingerring.traffic;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/**
 * The cores of reading and replaying know no file, socket, thread or clock; the mixer's inside
 * stays its own.
 */
class LayoutTest {
  private static final JavaClasses TRAFFIC =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages("gingerring.traffic");

  @Test
  void pureCoresUseNoResources() {
    noClasses()
        .that()
        .resideInAPackage("gingerring.traffic.flow..")
        .or()
        .haveNameMatching(
            "gingerring\\.traffic\\.replay\\.(ReplayPlan|Pacer|Retries|RetryChain|Comparison|OutcomeTimeline).*")
        .or()
        .haveNameMatching(
            "gingerring\\.traffic\\.scan\\.(ScanReader|HttpDecoder|FrameDecoder|FrameSplitter|ScanExchange|HttpMessage).*")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "java.nio.file..",
            "java.nio.channels..",
            "java.util.concurrent..",
            "gingerring.traffic.wire..")
        .orShould()
        .dependOnClassesThat()
        .belongToAnyOf(Thread.class, java.time.Clock.class, java.time.Instant.class)
        .check(TRAFFIC);
  }

  @Test
  void onlyTheMixersParsersAndTrafficListenerAreUsed() {
    noClasses()
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "gingerring.decide..",
            "gingerring.server..",
            "gingerring.frontend..",
            "gingerring.backend..",
            "gingerring.discovery..",
            "gingerring.simulator..")
        .check(TRAFFIC);
  }
}
