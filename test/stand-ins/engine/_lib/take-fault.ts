/** Says whether a counted fault hits this call, and counts it down. */
export const takeFault = (fault: {times?: number} | undefined): boolean => {
	if (fault === undefined || fault.times === 0) {
		return false;
	}

	if (fault.times !== undefined) {
		fault.times -= 1;
	}

	return true;
};

/** Replaces all switches in place, as the parts that read them hold the object. */
export const replaceFaults = (faults: object, next: object): void => {
	for (const name of Object.keys(faults)) {
		Reflect.deleteProperty(faults, name);
	}

	Object.assign(faults, next);
};
