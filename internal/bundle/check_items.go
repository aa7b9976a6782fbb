package bundle

import "slices"

func (c *checker) checkOperators() {
	operators := c.bundle.Operators
	checkItemNames(c, "operators", operators, operatorName)
	paths := map[string]string{}
	for index := range operators {
		c.checkKeyDigest(itemPath("operators", index)+".key_digest", operators[index].KeyDigest, paths)
	}
	if len(operators) == 0 {
		c.addViolation("operators", "must have at least one")
	}
}

func (c *checker) checkReviewers() {
	reviewers := c.bundle.Reviewers
	checkItemNames(c, "reviewers", reviewers, reviewerName)
	paths := map[string]string{}
	for index := range reviewers {
		path := itemPath("reviewers", index) + ".public_key"
		key, ok := decodePublicKey(reviewers[index].PublicKey)
		if !ok {
			c.addViolation(path, "must be an ed25519 public key of 32 bytes in base64")
			continue
		}
		if earlier, used := paths[string(key)]; used {
			c.addViolation(path, "is the same key as %s; one key cannot sign twice", earlier)
			continue
		}
		paths[string(key)] = path
	}
	signOffs := c.bundle.SignOffs
	if signOffs < 1 || signOffs > len(reviewers) {
		c.addViolation("sign_offs", "is %d; must be from 1 to the number of reviewers, %d", signOffs, len(reviewers))
	}
}

// zonePair is a pair of zone names in ascending order.
type zonePair struct{ a, b string }

func pairOf(a, b string) zonePair {
	if a > b {
		a, b = b, a
	}
	return zonePair{a, b}
}

func (c *checker) checkZones() {
	zones := c.bundle.Zones
	checkItemNames(c, "zones", zones, zoneName)
	if len(zones) == 0 {
		c.addViolation("zones", "must have at least one")
	}
	distances := map[zonePair]float64{}
	for index := range zones {
		c.checkDistances(itemPath("zones", index), &zones[index], distances)
	}
	for i, a := range c.names.zones {
		for _, b := range c.names.zones[i+1:] {
			if _, ok := distances[pairOf(a, b)]; !ok {
				c.addViolation("zones", "no distance between %s and %s", a, b)
			}
		}
	}
}

func (c *checker) checkDistances(zonePath string, zone *Zone, distances map[zonePair]float64) {
	for index, distance := range zone.Distances {
		path := itemPath(zonePath+".distances", index)
		c.reference(path+".to", "zone", distance.To, c.names.zones)
		c.numberWithin(path+".millis", distance.Millis, 0, maxDistanceMillis)
		if distance.To == zone.Name {
			c.addViolation(path+".to", "is the zone itself, whose distance is always 0")
			continue
		}
		pair := pairOf(zone.Name, distance.To)
		earlier, exists := distances[pair]
		if exists && earlier != distance.Millis {
			c.addViolation(path+".millis", "is %v, but the distance between %s and %s is elsewhere given as %v",
				distance.Millis, pair.a, pair.b, earlier)
		}
		distances[pair] = distance.Millis
	}
}

func (c *checker) checkCells() {
	cells := c.bundle.Cells
	checkItemNames(c, "cells", cells, cellName)
	if len(cells) == 0 {
		c.addViolation("cells", "must have at least one")
	}
	for index := range cells {
		path := itemPath("cells", index)
		if !cellPattern.MatchString(cells[index].Name) {
			c.addViolation(path+".name", "must be 1 to 32 lower-case letters, digits or '-', beginning with a letter")
		}
		for seed, address := range cells[index].Seeds {
			c.checkAddress(itemPath(path+".seeds", seed), address)
		}
	}
}

func (c *checker) checkTenants() {
	tenants := c.bundle.Tenants
	checkItemNames(c, "tenants", tenants, tenantName)
	paths := map[string]string{}
	for index := range tenants {
		tenant := &tenants[index]
		path := itemPath("tenants", index)
		if len(tenant.KeyDigests) == 0 {
			c.addViolation(path+".key_digests", "must have at least one")
		}
		for key, digest := range tenant.KeyDigests {
			c.checkKeyDigest(itemPath(path+".key_digests", key), digest, paths)
		}
		c.numberWithin(path+".weight", tenant.Weight, 0, maxWeight)
		c.references(path+".models", "model", tenant.Models, c.names.models)
		c.references(path+".tools", "tool", tenant.Tools, c.names.tools)
		c.within(path+".max_programs", int64(tenant.MaxPrograms), 0, maxCount)
		c.numberWithin(path+".requests_per_second", tenant.RequestsPerSecond, 0, maxRequestRate)
		c.numberWithin(path+".burst", tenant.Burst, 0, maxRequestRate)
		if tenant.Burst > 0 && tenant.RequestsPerSecond == 0 {
			c.addViolation(path+".burst", "is given without requests_per_second")
		}
	}
}

func (c *checker) checkClasses() {
	classes := c.bundle.Classes
	checkItemNames(c, "classes", classes, className)
	for index := range classes {
		class := &classes[index]
		path := itemPath("classes", index)
		c.numberWithin(path+".worth", class.Worth, 0, maxWeight)
		c.within(path+".deadline_millis", class.DeadlineMillis, 0, maxDurationMillis)
		c.within(path+".max_budget", int64(class.MaxBudget), 1, maxCount)
		c.within(path+".max_calls", class.MaxCalls, 0, maxCount)
		c.within(path+".max_depth", int64(class.MaxDepth), 0, maxProgramDepth)
		c.within(path+".max_tokens", class.MaxTokens, 0, maxCount)
		c.within(path+".max_wall_millis", class.MaxWallMillis, 0, maxDurationMillis)
		if class.MaxWallMillis > 0 && class.DeadlineMillis > class.MaxWallMillis {
			c.addViolation(path+".deadline_millis", "is %d; must not pass max_wall_millis, %d", class.DeadlineMillis, class.MaxWallMillis)
		}
	}
}

func (c *checker) checkModels() {
	models := c.bundle.Models
	checkItemNames(c, "models", models, modelName)
	for index := range models {
		model := &models[index]
		path := itemPath("models", index)
		if model.Version != "" {
			c.checkName(path+".version", model.Version)
		}
		c.within(path+".context_tokens", model.ContextTokens, 1, maxCount)
		c.within(path+".default_max_tokens", model.DefaultMaxTokens, 1, max(1, model.ContextTokens))
		c.within(path+".prompt_price", int64(model.PromptPrice), 0, maxCount)
		c.within(path+".cached_price", int64(model.CachedPrice), 0, max(0, int64(model.PromptPrice)))
		c.within(path+".completion_price", int64(model.CompletionPrice), 0, maxCount)
		c.within(path+".min_ready_engines", int64(model.MinReadyEngines), 0, c.enginesServing(model.Name))
		c.within(path+".weight_bytes", model.WeightBytes, 0, maxWeightBytes)
		checkItemNames(c, path+".adapters", model.Adapters, func(a *Adapter) string { return a.Name })
		for position, adapter := range model.Adapters {
			if adapter.Version != "" {
				c.checkName(itemPath(path+".adapters", position)+".version", adapter.Version)
			}
		}
	}
}

func (c *checker) enginesServing(model string) int64 {
	var count int64
	for index := range c.bundle.Engines {
		if slices.Contains(c.bundle.Engines[index].Models, model) {
			count++
		}
	}
	return count
}

func (c *checker) checkTools() {
	tools := c.bundle.Tools
	checkItemNames(c, "tools", tools, toolName)
	for index := range tools {
		tool := &tools[index]
		path := itemPath("tools", index)
		c.checkURL(path+".url", tool.URL)
		c.reference(path+".zone", "zone", tool.Zone, c.names.zones)
		c.within(path+".price", int64(tool.Price), 0, maxCount)
		c.within(path+".timeout_millis", tool.TimeoutMillis, 0, maxDurationMillis)
		c.within(path+".max_concurrent", int64(tool.MaxConcurrent), 0, maxCount)
	}
}

func (c *checker) checkEngines() {
	engines := c.bundle.Engines
	checkItemNames(c, "engines", engines, engineName)
	for index := range engines {
		engine := &engines[index]
		path := itemPath("engines", index)
		c.checkURL(path+".url", engine.URL)
		c.reference(path+".zone", "zone", engine.Zone, c.names.zones)
		c.reference(path+".cell", "cell", engine.Cell, c.names.cells)
		if len(engine.Models) == 0 {
			c.addViolation(path+".models", "must have at least one")
		}
		c.references(path+".models", "model", engine.Models, c.names.models)
		c.within(path+".max_models", int64(engine.MaxModels), 0, int64(len(engine.Models)))
		if engine.Role != "" {
			c.reference(path+".role", "role", engine.Role, engineRoles)
		}
	}
}
