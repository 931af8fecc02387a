package sagefall.architecture;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import java.time.Clock;
import java.time.Instant;

/**
 * Checks the dependencies between packages, and that the balancer uses no input, output, clock or
 * thread.
 */
@AnalyzeClasses(packages = "sagefall", importOptions = ImportOption.DoNotIncludeTests.class)
class LayeringTest {

    private static final String API = "sagefall.balancer.api..";
    private static final String BALANCER = "sagefall.balancer..";
    private static final String LOGGING = "sagefall.logging..";
    private static final String[] HOSTS = {"sagefall.proxy..", "sagefall.simulator.."};

    /**
     * The balancer is a deterministic state machine, so it must not use the network, files or
     * concurrency.
     */
    @ArchTest
    static final ArchRule BALANCER_USES_NO_INPUT_OR_OUTPUT =
            noClasses()
                    .that()
                    .resideInAPackage(BALANCER)
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "io.netty..",
                            "java.io..",
                            "java.net..",
                            "java.nio..",
                            "java.util.concurrent..",
                            "java.util.logging..",
                            "com.fasterxml..");

    @ArchTest
    static final ArchRule BALANCER_READS_NO_CLOCK =
            noClasses()
                    .that()
                    .resideInAPackage(BALANCER)
                    .should()
                    .callMethod(System.class, "nanoTime")
                    .orShould()
                    .callMethod(System.class, "currentTimeMillis")
                    .orShould()
                    .dependOnClassesThat()
                    .belongToAnyOf(Clock.class, Instant.class);

    @ArchTest
    static final ArchRule BALANCER_USES_NO_THREAD =
            noClasses()
                    .that()
                    .resideInAPackage(BALANCER)
                    .should()
                    .dependOnClassesThat()
                    .belongToAnyOf(Thread.class, ThreadLocal.class, Runtime.class);

    @ArchTest
    static final ArchRule BALANCER_API_DEPENDS_ONLY_ON_JDK =
            classes()
                    .that()
                    .resideInAPackage(API)
                    .should()
                    .onlyDependOnClassesThat()
                    .resideInAnyPackage(API, "java.lang..", "java.util..");

    @ArchTest
    static final ArchRule BALANCER_DEPENDS_ONLY_ON_LOGGING_AND_JDK =
            classes()
                    .that()
                    .resideInAPackage(BALANCER)
                    .should()
                    .onlyDependOnClassesThat()
                    .resideInAnyPackage(BALANCER, LOGGING, "java..");

    @ArchTest
    static final ArchRule LOGGING_DEPENDS_ONLY_ON_JDK =
            classes()
                    .that()
                    .resideInAPackage(LOGGING)
                    .should()
                    .onlyDependOnClassesThat()
                    .resideInAnyPackage(LOGGING, "java.lang..", "java.util..");

    /**
     * Packages that the hosts (proxy and simulator adapter) are built from do not depend on the
     * hosts.
     */
    @ArchTest
    static final ArchRule COMPONENTS_DO_NOT_DEPEND_ON_HOSTS =
            noClasses()
                    .that()
                    .resideInAnyPackage(
                            BALANCER,
                            "sagefall.buffer..",
                            "sagefall.config..",
                            "sagefall.discovery..",
                            "sagefall.http..",
                            "sagefall.leaderelection..",
                            "sagefall.persistence..",
                            "sagefall.streaming..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(HOSTS);

    @ArchTest
    static final ArchRule SIMULATOR_ADAPTER_USES_NO_NETWORK =
            noClasses()
                    .that()
                    .resideInAPackage("sagefall.simulator..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage("io.netty..", "java.net..", "sagefall.proxy..");
}
