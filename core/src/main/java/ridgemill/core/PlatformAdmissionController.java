package ridgemill.core;

import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import ridgemill.policy.Router.ServiceClass;
import ridgemill.policy.Router.Settings;

/** Admits every request that names a class of the platform's settings, under that class and without limits. */
public final class PlatformAdmissionController implements AdmissionController {

    private final Map<String, ServiceClass> classes;

    public PlatformAdmissionController(Settings settings) {
        classes = settings.classes().stream()
                .collect(Collectors.toMap(ServiceClass::name, Function.identity(), (a, b) -> b));
    }

    @Override
    public Decision admit(double nowMs, AdmissionRequest request) {
        ServiceClass serviceClass = request.requestedClass() == null ? null : classes.get(request.requestedClass());
        return serviceClass == null ? new Invalid(InvalidReason.UNKNOWN_CLASS)
                : new Admitted(serviceClass, request.budgetMs());
    }

    @Override
    public void requestEnded(double nowMs, String serviceClass) { }
}
