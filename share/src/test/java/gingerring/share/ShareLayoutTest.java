package gingerring.share;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import org.junit.jupiter.api.Test;

class ShareLayoutTest {
  /**
   * The package must behave alike everywhere: it may not depend on the machine, the clock or the
   * program's other modules.
   */
  @Test
  void dependsOnlyOnPlainData() {
    JavaClasses classes =
        new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("gingerring.share");
    ArchRuleDefinition.classes()
        .should()
        .onlyDependOnClassesThat()
        .resideInAnyPackage(
            "gingerring.share",
            "java.lang",
            "java.lang.invoke",
            "java.lang.runtime",
            "java.util",
            "java.util.function",
            "java.util.stream",
            "java.util.random",
            "java.time")
        .check(classes);
    ArchRuleDefinition.noClasses()
        .should()
        .dependOnClassesThat()
        .haveNameMatching(
            "java\\.time\\.Clock|"
                + "java\\.lang\\.Thread|java\\.util\\.Timer|java\\.lang\\.System")
        .check(classes);
  }
}
