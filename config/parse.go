package config

// Descriptions is a parsed file of descriptions, to be merged with a sheet.
type Descriptions struct {
	// Version is the version given in the file, or 0 if it gives none.
	Version uint64 `json:"version,omitempty"`
	// Services lists the described services.
	Services []Service `json:"services"`

	doc *Document
}

// SheetFile is a parsed sheet, to be merged with descriptions.
type SheetFile struct {
	Sheet Sheet

	doc *Document
}

// Parse reads descriptions and sheet from one file of JSON with comments and
// checks them. It reports all problems that it can find in one pass. If there are
// any, the configuration is nil. The file name is used in problems only.
func Parse(file string, data []byte) (*Config, []Problem) {
	c := new(Config)
	doc := Decode(file, data, c)
	if doc.Parsed() {
		c.check(doc)
	}
	if problems := doc.Problems(); len(problems) > 0 {
		return nil, problems
	}
	c.compile()
	return c, nil
}

// ParseDescriptions reads and checks a file that holds only the services. The
// descriptions are nil if there are problems.
func ParseDescriptions(file string, data []byte) (*Descriptions, []Problem) {
	d := new(Descriptions)
	d.doc = Decode(file, data, d)
	if d.doc.Parsed() {
		checkServices(d.Services, d.doc)
	}
	if problems := d.doc.Problems(); len(problems) > 0 {
		return nil, problems
	}
	return d, nil
}

// ParseSheet reads and checks a file that holds only the days of a sheet. Merge
// checks whether the services exist. The sheet is nil if there are problems.
func ParseSheet(file string, data []byte) (*SheetFile, []Problem) {
	s := new(SheetFile)
	s.doc = Decode(file, data, &s.Sheet)
	if s.doc.Parsed() {
		checkSheet(s.Sheet, s.doc, "")
	}
	if problems := s.doc.Problems(); len(problems) > 0 {
		return nil, problems
	}
	return s, nil
}

// Merge combines descriptions and a sheet into one configuration with the version
// of the descriptions. The sheet may be nil if there is no forecast. Problems refer
// to lines of the sheet file. The configuration shares the slices of the arguments.
func Merge(d *Descriptions, s *SheetFile) (*Config, []Problem) {
	c := &Config{Version: d.Version, Services: d.Services}
	if s != nil {
		c.Sheet = s.Sheet
		doc := s.doc.withoutProblems()
		checkSheetServices(c.Sheet, c.Services, doc, "")
		if problems := doc.Problems(); len(problems) > 0 {
			return nil, problems
		}
	}
	c.compile()
	return c, nil
}

// Check returns the problems of a configuration that was not parsed from a file.
func Check(c *Config) []Problem {
	doc := new(Document)
	c.check(doc)
	return doc.Problems()
}

func (c *Config) check(doc *Document) {
	checkServices(c.Services, doc)
	checkSheet(c.Sheet, doc, "sheet.")
	checkSheetServices(c.Sheet, c.Services, doc, "sheet.")
}

func (c *Config) compile() {
	for i := range c.Services {
		c.Services[i].routes = compileRoutes(c.Services[i].Kinds)
	}
}
