package gingerring.traffic;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/**
 * The logic of reading and replaying uses no files, sockets, threads or clocks, and the module uses
 * only the mixer's parsers and its traffic listener.
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
