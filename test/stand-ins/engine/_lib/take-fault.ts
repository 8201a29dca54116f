/** Returns whether a fault affects this call, and decrements the remaining number of calls it affects. */
export const takeFault = (fault: {times?: number} | undefined): boolean => {
	if (fault === undefined || fault.times === 0) {
		return false;
	}

	if (fault.times !== undefined) {
		fault.times -= 1;
	}

	return true;
};

/** Replaces all fault switches in place, because the modules that read them hold a reference to the object. */
export const replaceFaults = (faults: object, next: object): void => {
	for (const name of Object.keys(faults)) {
		Reflect.deleteProperty(faults, name);
	}

	Object.assign(faults, next);
};
